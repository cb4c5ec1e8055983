"""State that the holder of the order lease hands over to its successor.

Handles holders that are killed, stopped or cut off every few seconds, on a
weight store whose loads take as long as that: without the handover, none would
get to know the speed of the store, the models in demand or the loads in
progress.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple


class StoreLoad(NamedTuple):
    """A load from the weight store that an engine carries out.

    Attributes:
        target_id: Identity of the engine.
        born_ms: Start of its incarnation.
        model: The model.
        ordered_ago_ms: Time since the order.
        left_ms: Estimated time until it is done; negative if it should be.
    """

    target_id: str
    born_ms: int
    model: str
    ordered_ago_ms: int
    left_ms: int


class HandoverState(NamedTuple):
    """State that a lease holder hands over to its successor.

    Attributes:
        store_at_once: Number of concurrent loads that the weight store runs at
            full speed; 0 if unknown.
        store_proved: Highest number of concurrent loads observed to run at full
            speed.
        missed: Requests for models that no request has been served with, and
            the time since the first of them in ms, by model.
        loads: Loads from the weight store in progress. Rows written by earlier
            releases of the program lack them.
    """

    store_at_once: int
    store_proved: int
    missed: Mapping[str, tuple[float, int]]
    loads: Sequence[StoreLoad] = ()


EMPTY = HandoverState(store_at_once=0, store_proved=0, missed={})


def encode(state: HandoverState) -> dict[str, Any]:
    """Returns the fields of a lease row."""
    return {**state._asdict(), "loads": [list(load) for load in state.loads]}


def decode(fields: Mapping[str, Any]) -> HandoverState:
    """Returns the state from the fields of a lease row.

    Fields of later releases of the program are ignored.

    Args:
        fields: Fields by name.

    Raises:
        TypeError: A field is missing or of another type.
    """
    known = {
        name: value
        for name, value in fields.items()
        if name in HandoverState._fields
    }
    loads = [StoreLoad(*load) for load in known.pop("loads", ())]
    state = HandoverState(**known, loads=loads)
    _check(state)
    return state


def _check(state: HandoverState) -> None:
    """Checks the values of a state that another process has written.

    Raises:
        TypeError: One is of another type.
    """
    names = [*state.missed, *(load.target_id for load in state.loads)]
    names += [load.model for load in state.loads]
    numbers = [state.store_at_once, state.store_proved]
    for load in state.loads:
        numbers += [load.born_ms, load.ordered_ago_ms, load.left_ms]
    for requests, since_ms in state.missed.values():
        numbers += [int(requests), since_ms]
    if not (
        all(isinstance(name, str) for name in names)
        and all(isinstance(number, int) for number in numbers)
    ):
        raise TypeError("a field of another type")
