"""Tables that keep their newest entries only."""

from typing import TypeVar

_Key = TypeVar("_Key")
_Value = TypeVar("_Value")


def put_newest(
    table: dict[_Key, _Value], key: _Key, value: _Value, most: int
) -> None:
    """Puts an entry as the newest; the oldest goes if there are too many.

    Args:
        table: The table, in order of age.
        key: Key; an entry under it is replaced.
        value: Value.
        most: Entries that are kept.
    """
    table.pop(key, None)
    table[key] = value
    if len(table) > most:
        del table[next(iter(table))]
