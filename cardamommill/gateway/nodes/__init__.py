"""Messages between nodes, and decisions about nodes."""
