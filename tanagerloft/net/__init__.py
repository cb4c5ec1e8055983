"""Network connections of an instance: callers, targets, store, peers."""
