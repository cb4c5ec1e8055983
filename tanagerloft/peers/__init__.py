"""Messages between instances."""
