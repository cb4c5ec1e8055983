"""Stand-ins of the cases of the review."""
