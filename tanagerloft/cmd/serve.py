"""The command ``tanagerloft serve``."""

import logging
import signal
import sys
import threading

import click
from pythonjsonlogger import json as jsonlogger

from tanagerloft.cmd import exits
from tanagerloft.config import errors
from tanagerloft.config import settings as settings_lib
from tanagerloft.net import errors as net_errors
from tanagerloft.server import instance as instance_lib

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


@click.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def serve(file: str) -> None:
    """Run an entry instance with the settings in FILE."""
    settings = settings_lib.load(file)
    if isinstance(settings, errors.SettingsError):
        exits.fail(settings, exits.INVALID)
    set_up_logging(settings.get("log", "level"))
    stop = stop_event()
    try:
        instance = instance_lib.Instance(settings)
        instance.start()
    except net_errors.ListenError as error:
        exits.end_failed_start(error)
    click.echo(f"listening on port {instance.port}")
    sys.stdout.flush()
    stop.wait()
    instance.stop()


def set_up_logging(level: str) -> None:
    """Sends log lines to standard error, each a JSON object."""
    handler = logging.StreamHandler()
    handler.setFormatter(jsonlogger.JsonFormatter(_FIELDS))
    logging.basicConfig(level=level, handlers=[handler])


def stop_event() -> threading.Event:
    """Returns an event that SIGTERM and Ctrl-C set."""
    event = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda _number, _frame: event.set())
    return event
