"""Tests of cardamommill."""
