"""Copies of the store's tables, and from whom they are read."""
