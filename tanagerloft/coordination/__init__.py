"""Coordination of instances: configuration, targets, orders, limits."""
