"""Serving system for rarely used models."""

__version__ = "0.1.0"
