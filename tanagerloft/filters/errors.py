"""Refusals: the error responses that callers receive."""

from typing import NamedTuple

NOT_RUN = "not run"
UNKNOWN = "unknown"


class Refusal(NamedTuple):
    """An error response of the instance itself.

    Attributes:
        code: Machine-readable reason.
        status: HTTP status code.
        detail: Human-readable explanation.
        run: Whether a target ran the request: ``not run`` or ``unknown``.
        retry_after_ms: Delay before a retry, 0 for none.
    """

    code: str
    status: int
    detail: str
    run: str = NOT_RUN
    retry_after_ms: int = 0


MALFORMED_BODY = Refusal("malformed_body", 400, "The body is not valid JSON.")
MALFORMED_REQUEST = Refusal(
    "malformed_request", 400, "The request is not valid HTTP."
)
HEADERS_TOO_LARGE = Refusal(
    "headers_too_large", 413, "The headers are too large."
)
MODEL_MISSING = Refusal(
    "model_missing", 400, "The body must name a model as a string."
)
INVALID_PARAMETER = Refusal(
    "invalid_parameter", 400, "max_tokens must be a whole number from 1."
)
TWO_KEYS = Refusal(
    "two_keys",
    400,
    "Give the key in one header only: Authorization or X-Api-Key.",
)
IDEMPOTENCY_KEY_MISSING = Refusal(
    "idempotency_key_missing",
    400,
    "This route needs an Idempotency-Key header.",
)
IDEMPOTENCY_KEY_INVALID = Refusal(
    "idempotency_key_invalid",
    400,
    "Idempotency-Key must have 1 to 200 printable characters.",
)
KEY_MISPLACED = Refusal(
    "key_misplaced",
    400,
    "The key also stands in the path, the query or the body.",
)
KEY_MISSING = Refusal("key_missing", 401, "This route needs a key.")
KEY_INVALID = Refusal("key_invalid", 401, "The key is not valid.")
KEY_WITHDRAWN = Refusal("key_withdrawn", 401, "The key is no longer valid.")
UNKNOWN_ROUTE = Refusal("unknown_route", 404, "There is nothing at this path.")
UNKNOWN_MODEL = Refusal("unknown_model", 404, "There is no model of this name.")
METHOD_NOT_ALLOWED = Refusal(
    "method_not_allowed", 405, "This path takes POST requests."
)
SLOW_SENDER = Refusal("slow_sender", 408, "The body did not arrive in time.")
IDEMPOTENCY_KEY_REUSED = Refusal(
    "idempotency_key_reused",
    422,
    "The key was used before for another request.",
)
LENGTH_REQUIRED = Refusal(
    "length_required", 411, "The request must have a Content-Length."
)
BODY_TOO_LARGE = Refusal("body_too_large", 413, "The body is too large.")
LIMIT_TOO_SMALL = Refusal(
    "limit_too_small", 400, "The request needs more than the account's burst."
)
CLIENT_GONE = Refusal("client_gone", 499, "The caller closed the connection.")
KEYS_UNCONFIRMED = Refusal(
    "keys_unconfirmed",
    503,
    "This instance cannot confirm that keys are current.",
    retry_after_ms=2_000,
)
LIMIT_UNCONFIRMED = Refusal(
    "limit_unconfirmed",
    503,
    "What is left of the account's limit is not known here now.",
    retry_after_ms=1_000,
)
CONFIGURATION_OUTDATED = Refusal(
    "configuration_outdated",
    503,
    "This instance has not read the newest configuration yet.",
    retry_after_ms=500,
)
NOT_CONFIGURED = Refusal(
    "not_configured",
    503,
    "No configuration is in force yet.",
    retry_after_ms=2_000,
)
OVERLOADED = Refusal(
    "overloaded",
    503,
    "Too many requests at this instance.",
    retry_after_ms=1_000,
)
QUEUE_FULL = Refusal(
    "queue_full", 503, "Too many requests wait here.", retry_after_ms=2_000
)
STOPPING = Refusal(
    "stopping", 503, "This instance is stopping.", retry_after_ms=1_000
)
NO_TARGET = Refusal(
    "no_target", 503, "No target could take the request.", retry_after_ms=5_000
)
RECORD_UNAVAILABLE = Refusal(
    "record_unavailable",
    503,
    "The request could not be recorded, so it was not run.",
    retry_after_ms=5_000,
)
DEADLINE = Refusal(
    "deadline", 504, "No target was ready in time.", retry_after_ms=10_000
)
OUTCOME_UNKNOWN = Refusal(
    "outcome_unknown",
    502,
    "The request was sent; whether it ran is not known.",
    run=UNKNOWN,
)
ANSWER_CUT = Refusal(
    "answer_cut", 502, "The answer ended before it was whole.", run=UNKNOWN
)
INTERNAL = Refusal("internal", 500, "Internal error.", run=UNKNOWN)


def limit_exceeded(retry_after_ms: int) -> Refusal:
    """Returns the refusal for an account whose token bucket is empty."""
    return Refusal(
        "limit_exceeded",
        429,
        "The account's limit is spent.",
        retry_after_ms=retry_after_ms,
    )
