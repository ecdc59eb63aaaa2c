"""Types and settings that all packages of the entry node share."""
