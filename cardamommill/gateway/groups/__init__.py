"""Decisions about groups of runners, without input and output."""
