"""The command ``tanagerloft trial``."""

import json
import sys

import click

from tanagerloft.cmd import exits
from tanagerloft.cmd import serve
from tanagerloft.net import errors as net_errors
from tanagerloft.standins import trial as trial_lib


@click.command()
@click.option(
    "--port", default=8080, show_default=True, help="Port, 0 for any."
)
@click.option(
    "--announce", is_flag=True, help="Print port and key as one JSON line."
)
def trial(port: int, announce: bool) -> None:
    """Run instance, platform, engine and service in one process."""
    serve.set_up_logging("INFO")
    stop = serve.stop_event()
    running = trial_lib.Trial(port)
    try:
        running.start(stop)
    except net_errors.ListenError as error:
        exits.end_failed_start(error)
    if announce:
        click.echo(json.dumps({"port": running.port, "key": trial_lib.KEY}))
    else:
        click.echo(running.instructions())
    sys.stdout.flush()
    stop.wait()
    running.stop()
