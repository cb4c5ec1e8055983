"""Adapter to the users' platform: names and forms on the wire, nothing else."""
