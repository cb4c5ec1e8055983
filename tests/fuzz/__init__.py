"""Stateful fuzz tests of decisions and controllers."""
