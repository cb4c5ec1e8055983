"""Experiments that drive decisions and controllers on a virtual clock."""
