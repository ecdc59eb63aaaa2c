"""Tests of cardamommill.gateway.shell."""
