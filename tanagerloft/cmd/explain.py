"""The command ``tanagerloft explain``."""

import itertools
import sys
from typing import TextIO

import click

from tanagerloft.cmd import exits
from tanagerloft.util import log_lines
from tanagerloft.util import log_models
from tanagerloft.util import log_summary


@click.command()
@click.option(
    "--summary",
    is_flag=True,
    help="Count what became of all requests; no REQUEST_ID is given then.",
)
@click.option(
    "--models",
    is_flag=True,
    help="Tell which models were never served, and why.",
)
@click.argument("arguments", nargs=-1, metavar="[REQUEST_ID] [FILE]...")
def explain(summary: bool, models: bool, arguments: tuple[str, ...]) -> None:
    """Print the path of REQUEST_ID from log FILEs, or standard input."""
    request_id, names = "", arguments
    if not summary and not models:
        if not arguments:
            exits.fail("REQUEST_ID is missing", exits.INVALID)
        request_id, names = arguments[0], arguments[1:]
    lines = itertools.chain(*_open(names))
    if models:
        told = log_models.table(lines)
    elif summary:
        told = log_summary.table(lines)
    else:
        told = map(log_lines.describe, log_lines.path_of(request_id, lines))
    printed = 0
    for line in told:
        click.echo(line)
        printed += 1
    if not printed:
        subject = f"request {request_id}" if request_id else "any request"
        exits.fail(f"no line tells of {subject}")


def _open(names: tuple[str, ...]) -> list[TextIO]:
    try:
        return [open(name, errors="replace") for name in names] or [sys.stdin]
    except OSError as error:
        exits.fail(error, exits.INVALID)
