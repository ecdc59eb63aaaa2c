"""Tests of cardamommill.gateway."""
