"""Exit codes of the command line."""

import sys
from typing import NoReturn

import click

OK = 0
FAILED = 1
INVALID = 2
CONFLICT = 3
LAGGING = 4


def fail(message: object, code: int = FAILED) -> NoReturn:
    """Prints a message to standard error and ends the process."""
    click.echo(f"tanagerloft: {message}", err=True)
    sys.exit(code)
