"""What the requests of one instance share."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from tanagerloft.coordination import target_permits
from tanagerloft.coordination import targets as targets_lib
from tanagerloft.gateway import context as context_lib
from tanagerloft.gateway import crash_watch as crash_watch_lib
from tanagerloft.gateway import dialect as dialect_lib
from tanagerloft.gateway import errors
from tanagerloft.gateway import waiting as waiting_lib
from tanagerloft.net import connection_pool


class Parts(NamedTuple):
    """What exchanges share.

    Attributes:
        dialect: Protocol of callers and targets.
        directory: Targets.
        pool: Connections to targets.
        permits: Permits for targets with a limit.
        room: Requests that wait for a model.
        take_repeat: Takes a repeat of the budget of a service.
        note_first: Counts a first send at a service.
        recheck: Checks a request again before each send; a refusal if its key
            does not hold any more or cannot be confirmed, or if it crashes
            targets.
        crash_watch: Finds requests that crash targets.
        report_soon: Tells the holder soon what is waited for.
        later_ms: Returns the time until a model will be there, if known.
        holder_age_ms: Returns the age of the holder's last word.
        now_ms: Clock.
    """

    dialect: dialect_lib.Dialect
    directory: targets_lib.TargetDirectory
    pool: connection_pool.Pool
    permits: target_permits.TargetPermits
    room: waiting_lib.WaitingRoom
    take_repeat: Callable[[str], bool]
    note_first: Callable[[str], None]
    recheck: Callable[[context_lib.RequestContext], errors.Refusal | None]
    crash_watch: crash_watch_lib.CrashWatch
    report_soon: Callable[[], None]
    later_ms: Callable[[str], int | None]
    holder_age_ms: Callable[[], int]
    now_ms: Callable[[], int]
