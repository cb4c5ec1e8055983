"""Scenarios in a small test language, run against real processes."""
