"""Connections of an instance: callers, targets, the store, other instances."""
