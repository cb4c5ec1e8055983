"""HTTP front of an instance and the wiring of its parts."""
