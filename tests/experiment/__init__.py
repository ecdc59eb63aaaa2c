"""Tests of cardamommill.experiment."""
