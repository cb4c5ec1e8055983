"""Filters of the request path."""
