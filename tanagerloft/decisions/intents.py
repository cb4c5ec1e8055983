"""Runs a non-idempotent request at most once, by its idempotency key.

An intent record under (client account, idempotency key) is written before the
request is sent. Only the attempt whose write has created the record may send
the request, and sends it once. All others answer from the record.
"""

from typing import Any
from typing import NamedTuple

RUNNING = "running"
DONE = "done"
NOT_RUN = "not run"
# Maps each byte to one character and back, so that any body can be stored.
BODY_ENCODING = "latin-1"


class MayRun(NamedTuple):
    """The request has not run: the attempt that writes the record may send."""


class Replay(NamedTuple):
    """The request ran; this was its response.

    Attributes:
        status: HTTP status code.
        content_type: Content type of the body.
        body: The body, decoded to text by ``BODY_ENCODING``.
    """

    status: int
    content_type: str
    body: str


class OutcomeUnknown(NamedTuple):
    """The request was or will be sent; its outcome is not known."""


class DigestMismatch(NamedTuple):
    """The key was used before, for another request."""


Decision = MayRun | Replay | OutcomeUnknown | DigestMismatch


def decide(record: dict[str, Any], request_digest: str) -> Decision:
    """Decides what a request may do.

    Args:
        record: Record under its key, empty if there is none.
        request_digest: Digest of the request.
    """
    if not record:
        return MayRun()
    if record["digest"] != request_digest:
        return DigestMismatch()
    if record["state"] == NOT_RUN:
        return MayRun()
    if record["state"] != DONE:
        return OutcomeUnknown()
    return Replay(record["status"], record["content_type"], record["body"])


def running_record(request_digest: str) -> dict[str, Any]:
    """Returns the record to write before the request is sent."""
    return {"state": RUNNING, "digest": request_digest}


def not_run_record(request_digest: str) -> dict[str, Any]:
    """Returns the record of a request that was certainly never sent."""
    return {"state": NOT_RUN, "digest": request_digest}


def done_record(request_digest: str, outcome: Replay) -> dict[str, Any]:
    """Returns the record to write once the response is complete."""
    return {"state": DONE, "digest": request_digest, **outcome._asdict()}
