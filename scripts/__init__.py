"""Measurements and checks on real processes."""
