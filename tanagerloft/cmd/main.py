"""The command ``tanagerloft``."""

import click

import tanagerloft
from tanagerloft.cmd import bench
from tanagerloft.cmd import config
from tanagerloft.cmd import inventory
from tanagerloft.cmd import keys
from tanagerloft.cmd import serve
from tanagerloft.cmd import standin
from tanagerloft.cmd import status
from tanagerloft.cmd import trial


@click.group(
    context_settings={"help_option_names": ["-h", "--help"]},
    epilog="Exit codes: 0 done; 1 failed or refused; 2 wrong arguments,"
    " settings or inventory; 3 conflict with another change; 4 accepted, but"
    " not in force everywhere yet.",
)
def main() -> None:
    """Serving system for rarely used models."""


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(tanagerloft.__version__)


main.add_command(bench.bench)
main.add_command(config.config)
main.add_command(inventory.inventory)
main.add_command(keys.keys)
main.add_command(serve.serve)
main.add_command(standin.standin)
main.add_command(status.status)
main.add_command(trial.trial)
