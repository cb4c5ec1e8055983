"""Exit codes of the command line."""

import logging
import os
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


def end_failed_start(error: object) -> NoReturn:
    """Prints why a start failed and ends the process at once.

    Parts that have started already may have threads that nobody would stop.
    """
    click.echo(f"tanagerloft: {error}", err=True)
    logging.shutdown()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(FAILED)
