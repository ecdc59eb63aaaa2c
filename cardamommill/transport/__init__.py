"""HTTP connections of callers and to backend servers."""
