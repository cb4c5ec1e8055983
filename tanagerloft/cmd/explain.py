"""The command ``tanagerloft explain``."""

import itertools
import sys
from typing import TextIO

import click

from tanagerloft.cmd import exits
from tanagerloft.util import log_lines


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, type=click.File("r", errors="replace"))
def explain(request_id: str, files: tuple[TextIO, ...]) -> None:
    """Print the path of REQUEST_ID from log FILES, or standard input."""
    sources = files or (sys.stdin,)
    found = log_lines.path_of(request_id, itertools.chain(*sources))
    if not found:
        exits.fail(f"no line tells of request {request_id}")
    for line in found:
        click.echo(log_lines.describe(line))
