"""What instances agree on: configuration, targets, orders, limits."""
