"""Tests of cardamommill.gateway.nodes."""
