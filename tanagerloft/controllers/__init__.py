"""Controllers: each owns one kind of state and drives its decisions."""
