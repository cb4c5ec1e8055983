"""Registry through which parts of the program are added by name."""

from collections.abc import Callable
import importlib
from typing import Any
from typing import NamedTuple


class Part(NamedTuple):
    """A registered part.

    Attributes:
        kind: Kind of part: ``filter``, ``controller`` or ``stand-in``.
        name: Name within its kind.
        build: Function that makes the part from what its kind is given.
    """

    kind: str
    name: str
    build: Callable[..., Any]


class Registry:
    """Named parts by kind."""

    def __init__(self):
        self._parts: dict[tuple[str, str], Part] = {}

    def add(self, kind: str, name: str, build: Callable[..., Any]) -> None:
        """Adds a part.

        Raises:
            ValueError: If the name is taken within its kind.
        """
        if (kind, name) in self._parts:
            raise ValueError(f"{kind} {name!r} is registered twice")
        self._parts[kind, name] = Part(kind, name, build)

    def build(self, kind: str, name: str, *args: Any) -> Any:
        """Builds the part called ``name``."""
        return self._parts[kind, name].build(*args)

    def names(self, kind: str) -> list[str]:
        """Returns the names registered for ``kind``, in order of adding."""
        return [name for part_kind, name in self._parts if part_kind == kind]


def load(modules: tuple[str, ...]) -> Registry:
    """Imports ``modules`` and lets each declare itself by ``setup()``."""
    registry = Registry()
    for module in modules:
        importlib.import_module(module).setup(registry)
    return registry
