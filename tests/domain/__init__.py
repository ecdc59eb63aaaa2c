"""Tests of the types that all packages of the entry node share."""
