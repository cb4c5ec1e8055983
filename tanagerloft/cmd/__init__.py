"""Command line: modules here parse arguments and call the rest."""
