"""Factors between units, for names that end in one of them."""

MS_PER_S = 1000
US_PER_MS = 1000
US_PER_S = 1_000_000
NS_PER_MS = 1_000_000
BYTES_PER_MB = 1_000_000
