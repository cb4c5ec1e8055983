"""Errors of the configuration layer."""

from typing import NamedTuple


class SettingsError(NamedTuple):
    """A fault in a settings file.

    Attributes:
        file: Path of the file as given.
        section: Section name, empty if the fault is not in one.
        key: Key name, empty if the fault is not at one.
        reason: What is wrong and what is expected.
    """

    file: str
    section: str
    key: str
    reason: str

    def __str__(self) -> str:
        """Returns the message for operators."""
        place = f"[{self.section}] {self.key}".strip() if self.section else ""
        return ": ".join(
            part for part in (self.file, place, self.reason) if part
        )


class InventoryError(NamedTuple):
    """A fault in an inventory.

    Attributes:
        line: Line number, from 1; 0 if the fault is not on one line.
        reason: What is wrong.
    """

    line: int
    reason: str

    def __str__(self) -> str:
        """Returns the message for operators."""
        return f"line {self.line}: {self.reason}" if self.line else self.reason


class ApplyError(NamedTuple):
    """Why an inventory was not applied.

    Attributes:
        code: ``conflict``, ``unavailable`` or ``unknown``.
        version_in_force: Version that the table holds, 0 if not known.
        reason: Text for operators.
    """

    code: str
    version_in_force: int
    reason: str
