"""Dependencies shared by the exchanges of one instance."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from tanagerloft.coordination import stream_versions as stream_versions_lib
from tanagerloft.coordination import target_permits
from tanagerloft.coordination import targets as targets_lib
from tanagerloft.decisions import prompt_evidence as evidence_lib
from tanagerloft.decisions import retry_budget
from tanagerloft.gateway import codec as codec_lib
from tanagerloft.gateway import context as context_lib
from tanagerloft.gateway import crash_detector as crash_detector_lib
from tanagerloft.gateway import errors
from tanagerloft.gateway import returning_callers as returning_callers_lib
from tanagerloft.gateway import wait_queue as wait_queue_lib
from tanagerloft.net import connection_pool


class Dependencies(NamedTuple):
    """Dependencies of exchanges.

    Attributes:
        codec: Protocol of callers and targets.
        directory: Targets.
        pool: Connections to targets.
        permits: Permits for targets with a rate limit.
        stream_versions: Software versions that began streams.
        wait_queue: Requests that wait for a model.
        returning_callers: Refused callers that are expected to come back.
        acquire_retry: Takes a retry from the retry budget of a service, if
            there is one left.
        record_first_send: Counts a first send to a service.
        recheck: Checks a request again before each send; a refusal if its key
            has been withdrawn or cannot be confirmed, or if the request
            crashes targets.
        crash_detector: Detects requests that crash targets.
        prompt_evidence: Prompt parts that targets answered or crashed under.
        report_soon: Sends a report to the lease holder soon.
        declares_model: Returns whether a service declares a model, or has no
            models.
        model_ready_in_ms: Returns the time until a model is ready, if known.
        holder_age_ms: Returns the age of the lease holder's last status.
        now_ms: Clock.
    """

    codec: codec_lib.Codec
    directory: targets_lib.TargetDirectory
    pool: connection_pool.Pool
    permits: target_permits.TargetPermits
    stream_versions: stream_versions_lib.StreamVersions
    wait_queue: wait_queue_lib.WaitQueue
    returning_callers: returning_callers_lib.ReturningCallers
    acquire_retry: Callable[[str], retry_budget.Decision]
    record_first_send: Callable[[str], None]
    recheck: Callable[[context_lib.RequestContext], errors.Refusal | None]
    crash_detector: crash_detector_lib.CrashDetector
    prompt_evidence: evidence_lib.PartEvidence
    report_soon: Callable[[], None]
    declares_model: Callable[[str, str], bool]
    model_ready_in_ms: Callable[[str], int | None]
    holder_age_ms: Callable[[], int]
    now_ms: Callable[[], int]
