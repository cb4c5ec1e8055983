"""At most one run of a non-idempotent request.

A record under (client account, idempotency key) is written before the request
is sent. Only the attempt whose write created the record may send, and it sends
once. All others answer from the record.
"""

from typing import Any
from typing import NamedTuple

RUNNING = "running"
DONE = "done"
NOT_RUN = "not run"
# Maps each byte to one character and back.
BODY_ENCODING = "latin-1"


class MayRun(NamedTuple):
    """No record: the attempt that creates one may send."""


class Replay(NamedTuple):
    """The request ran; this was its answer.

    Attributes:
        status: HTTP status code.
        content_type: Type of the body.
        body: The body, its bytes as text in ``BODY_ENCODING``.
    """

    status: int
    content_type: str
    body: str


class OutcomeUnknown(NamedTuple):
    """The request was sent or is about to be; its outcome is not known."""


class DigestMismatch(NamedTuple):
    """The key was used before for another request."""


Decision = MayRun | Replay | OutcomeUnknown | DigestMismatch


def decide(record: dict[str, Any], request_digest: str) -> Decision:
    """Tells what a request may do, given the record under its key."""
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
    """Returns the record of a request that is known never to have been sent."""
    return {"state": NOT_RUN, "digest": request_digest}


def done_record(request_digest: str, outcome: Replay) -> dict[str, Any]:
    """Returns the record to write once the answer is whole."""
    return {"state": DONE, "digest": request_digest, **outcome._asdict()}
