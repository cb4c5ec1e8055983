"""Stand-ins for outside systems, for trials and tests."""
