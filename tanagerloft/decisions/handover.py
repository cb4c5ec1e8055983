"""What a holder of the order lease has learnt and leaves to the next one.

Load answered: holders that are killed, stopped or cut off every few seconds, on
a weight store whose loads take as long as that.
"""

from collections.abc import Mapping
from typing import NamedTuple


class HandoverState(NamedTuple):
    """What a holder has learnt and leaves to the next one.

    Attributes:
        store_at_once: Loads that the weight store takes at full speed; 0 if
            nothing has been learnt.
        store_proved: Loads at once that have been seen to go at full speed.
        missed: Requests for models that nobody has been served with, and the
            time since the first of them in ms, by model.
    """

    store_at_once: int
    store_proved: int
    missed: Mapping[str, tuple[float, int]]


EMPTY = HandoverState(store_at_once=0, store_proved=0, missed={})
