"""Adapter to the users' platform: its wire format, and no decisions."""
