"""Tests of cardamommill.gateway.fleet."""
