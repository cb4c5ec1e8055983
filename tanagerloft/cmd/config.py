"""The command ``tanagerloft config``."""

import click

from tanagerloft.cmd import exits
from tanagerloft.config import errors
from tanagerloft.config import settings as settings_lib


@click.group()
def config() -> None:
    """Check and explain settings files."""


@config.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def check(file: str) -> None:
    """Check the settings in FILE; exit code 2 if they are invalid."""
    settings = settings_lib.load(file)
    if isinstance(settings, errors.SettingsError):
        exits.fail(settings, exits.INVALID)
    click.echo(f"{file}: valid")


@config.command()
def explain() -> None:
    """Print all settings with defaults; a key's suffix is its unit."""
    section = ""
    for setting in settings_lib.TABLE:
        if setting.section != section:
            section = setting.section
            click.echo(f"[{section}]")
        required = setting.default is settings_lib.REQUIRED
        default = "required" if required else f"default {setting.default}"
        click.echo(f"{setting.key}  ({setting.kind}, {default})")
        click.echo(f"    {setting.doc}")
