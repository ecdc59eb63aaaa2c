"""Tests of cardamommill.gateway.tables."""
