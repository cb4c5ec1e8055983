"""Small helpers with no knowledge of the rest of the package."""
