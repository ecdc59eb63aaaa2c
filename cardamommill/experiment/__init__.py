"""A model of the platform under a virtual clock; nodes never import it."""
