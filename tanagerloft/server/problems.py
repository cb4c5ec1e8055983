"""Problem bodies: refusals as callers see them.

The body follows RFC 9457 (``application/problem+json``), with the members
``reason``, ``run``, ``request_id`` and ``retry_after_ms`` added.
"""

import json

from tanagerloft.filters import errors

CONTENT_TYPE = "application/problem+json"
_MS_PER_S = 1_000


def body(refusal: errors.Refusal, request_id: str) -> bytes:
    """Returns the JSON body of a refusal."""
    members = {
        "type": "about:blank",
        "title": refusal.detail,
        "status": refusal.status,
        "reason": refusal.code,
        "run": refusal.run,
        "request_id": request_id,
    }
    if refusal.retry_after_ms:
        members["retry_after_ms"] = refusal.retry_after_ms
    return json.dumps(members).encode()


def headers(
    refusal: errors.Refusal, request_id: str, length: int
) -> list[tuple[str, str]]:
    """Returns the headers of a refusal."""
    result = [
        ("Content-Type", CONTENT_TYPE),
        ("Content-Length", str(length)),
        ("X-Request-Id", request_id),
    ]
    if refusal.retry_after_ms:
        seconds = -(-refusal.retry_after_ms // _MS_PER_S)
        result.append(("Retry-After", str(seconds)))
    if refusal.status == 401:
        result.append(("WWW-Authenticate", "Bearer"))
    return result


def stream_event(refusal: errors.Refusal, request_id: str) -> bytes:
    """Returns the event that ends a stream which is not whole."""
    members = {
        "error": {
            "message": refusal.detail,
            "type": refusal.code,
            "code": refusal.code,
            "run": refusal.run,
            "request_id": request_id,
        }
    }
    return b"data: " + json.dumps(members).encode() + b"\n\n"
