"""Tests of cardamommill.platform."""
