"""The command ``tanagerloft gateway``."""

import asyncio

import click

from tanagerloft import registry as registry_lib
from tanagerloft.cmd import exits
from tanagerloft.config import errors
from tanagerloft.config import fleet_settings
from tanagerloft.config import settings as settings_lib
from tanagerloft.gateway import instance as instance_lib
from tanagerloft.net import errors as net_errors
from tanagerloft.util import clock as clock_lib
from tanagerloft.util import log

DEPLOYMENT_MODULES = ("tanagerloft.platform.deployment",)
_DRAIN_MS = 200


@click.command()
@click.option(
    "--deployment",
    default="users",
    show_default=True,
    help="Where it runs: names the drivers.",
)
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def gateway(deployment: str, file: str) -> None:
    """Run an instance on the users' platform with the settings in FILE."""
    settings = settings_lib.load(file, fleet_settings.TABLE)
    if isinstance(settings, errors.SettingsError):
        exits.fail(settings, exits.INVALID)
    clock = clock_lib.Clock()
    handler = log.set_up(
        settings.get("instance", "id"),
        clock,
        settings.get("log", "level"),
        settings.get("log", "lines_per_s"),
    )
    registry = registry_lib.load(DEPLOYMENT_MODULES)

    def build(*arguments):
        return registry.build("deployment", deployment, *arguments)

    instance = instance_lib.Instance(settings, build, clock)
    try:
        asyncio.run(instance.run())
    except net_errors.ListenError as error:
        handler.drain(_DRAIN_MS)
        exits.end_failed_start(error)
    handler.drain(_DRAIN_MS)
