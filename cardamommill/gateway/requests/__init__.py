"""Decisions about requests, without input and output."""
