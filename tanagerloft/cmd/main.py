"""The command ``tanagerloft``."""

import importlib

import click

import tanagerloft

# Modules are imported by the command that needs them: an instance's memory
# has no room for the libraries of all.
_COMMANDS = {
    "bench": "bench",
    "config": "config",
    "explain": "explain",
    "gateway": "gateway",
    "inventory": "inventory",
    "keys": "keys",
    "serve": "serve",
    "stand-in": "standin",
    "status": "status",
    "trial": "trial",
}


class _LazyGroup(click.Group):
    """Group that imports a command's module when it is called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all commands."""
        return sorted([*super().list_commands(ctx), *_COMMANDS])

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Returns a command by its name."""
        if cmd_name not in _COMMANDS:
            return super().get_command(ctx, cmd_name)
        name = _COMMANDS[cmd_name]
        module = importlib.import_module(f"tanagerloft.cmd.{name}")
        return getattr(module, name)


@click.group(
    cls=_LazyGroup,
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
