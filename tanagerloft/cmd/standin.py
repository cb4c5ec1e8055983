"""The command ``tanagerloft stand-in``."""

from collections.abc import Callable
import json
import os
import sys

import click

from tanagerloft import registry as registry_lib
from tanagerloft.cmd import exits
from tanagerloft.cmd import options
from tanagerloft.cmd import serve
from tanagerloft.net import errors as net_errors
from tanagerloft.server import http_server
from tanagerloft.standins import trial as trial_lib
from tanagerloft.util import http

MODULES = (
    "tanagerloft.standins.engine",
    "tanagerloft.standins.platform",
    "tanagerloft.standins.service",
    "tanagerloft.standins.weights",
)
_THREADS = 64
_LOAD_TIMEOUT_MS = 600_000
_CRASH_EXIT_CODE = 70

_address = click.option(
    "--port", default=0, help="Port to listen on, 0 for any.", show_default=True
)


@click.group(name="stand-in")
def standin() -> None:
    """Run a stand-in for an outside system, on loopback.

    POST /faults with a JSON object makes it fail while it runs.
    """


@standin.command()
@_address
def platform(port: int) -> None:
    """Run the platform's table and instance list."""
    run(registry().build("stand-in", "platform"), port)


@standin.command()
@_address
@click.option("--loads-per-s", default=4, help="Model loads a second.")
@click.option("--at-once", default=4, help="Model loads at full speed.")
@click.option("--mb-per-s", default=2_000, help="Megabytes a second of a load.")
def weights(port: int, loads_per_s: int, at_once: int, mb_per_s: int) -> None:
    """Run the weight store."""
    parts = registry()
    run(
        parts.build("stand-in", "weights", loads_per_s, at_once, mb_per_s), port
    )


@standin.command()
@_address
def service(port: int) -> None:
    """Run a plain service."""
    run(registry().build("stand-in", "service"), port)


@standin.command()
@_address
@click.option("--memory-mb", default=80_000, help="Memory in megabytes.")
@click.option("--weights-url", required=True, help="URL of the weight store.")
@click.option(
    "--inventory",
    "inventory_file",
    type=click.Path(exists=True, dir_okay=False),
    required=True,
    help="Inventory that gives the sizes of models and adapters.",
)
@click.option(
    "--check-fencing/--ignore-fencing",
    default=True,
    help="Whether to refuse orders with an old fencing token.",
)
@click.option("--token-ms", default=10, help="Milliseconds between tokens.")
@click.option("--report-lag-ms", default=100, help="Age of load reports in ms.")
def engine(
    port: int,
    memory_mb: int,
    weights_url: str,
    inventory_file: str,
    check_fencing: bool,
    token_ms: int,
    report_lag_ms: int,
) -> None:
    """Run a model engine. A request with the crash mark ends the process."""
    inventory = options.read_inventory(inventory_file)
    application = registry().build(
        "stand-in",
        "engine",
        memory_mb,
        trial_lib.inventory_sizes(inventory),
        remote_load(weights_url),
        check_fencing,
        token_ms,
        report_lag_ms,
        lambda: os._exit(_CRASH_EXIT_CODE),
    )
    run(application, port)


def registry() -> registry_lib.Registry:
    """Returns the registry with all stand-ins."""
    return registry_lib.load(MODULES)


def remote_load(weights_url: str) -> Callable[[int, str], None]:
    """Returns a function that loads from a weight store over HTTP."""
    client = http.HttpClient()

    def load(mb: int, kind: str) -> None:
        payload = {"mb": mb, "kind": kind}
        url = weights_url + "/loads"
        client.send(http.json_request("POST", url, payload, _LOAD_TIMEOUT_MS))

    return load


def run(application: Callable, port: int) -> None:
    """Serves a stand-in until SIGTERM or Ctrl-C."""
    serve.set_up_logging("WARNING")
    stop = serve.stop_event()
    server = http_server.HttpServer("127.0.0.1", port, application, _THREADS)
    try:
        bound = server.start()
    except net_errors.ListenError as error:
        exits.end_failed_start(error)
    click.echo(json.dumps({"port": bound}))
    sys.stdout.flush()
    stop.wait()
    server.stop()
