"""Tests of cardamommill.gateway.requests."""
