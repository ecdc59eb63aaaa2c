"""Packs the one file that is shipped."""
