"""Tests of cardamommill.transport."""
