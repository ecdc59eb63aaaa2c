"""Tests of cardamommill.gateway.groups."""
