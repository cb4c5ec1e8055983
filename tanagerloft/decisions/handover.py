"""State that the holder of the order lease hands over to its successor.

Handles holders that are killed, stopped or cut off every few seconds, on a
weight store whose loads take as long as that: without the handover, none would
get to know the speed of the store or the models in demand.
"""

from collections.abc import Mapping
from typing import NamedTuple


class HandoverState(NamedTuple):
    """State that a lease holder hands over to its successor.

    Attributes:
        store_at_once: Number of concurrent loads that the weight store runs at
            full speed; 0 if unknown.
        store_proved: Highest number of concurrent loads observed to run at full
            speed.
        missed: Requests for models that no request has been served with, and
            the time since the first of them in ms, by model.
    """

    store_at_once: int
    store_proved: int
    missed: Mapping[str, tuple[float, int]]


EMPTY = HandoverState(store_at_once=0, store_proved=0, missed={})
