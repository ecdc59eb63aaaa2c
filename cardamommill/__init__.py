"""Cardamommill, a serving system for models that span several VMs."""

__version__ = "0.1.0"
