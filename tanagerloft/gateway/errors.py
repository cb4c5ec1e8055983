"""Refusals that the gateway sends to callers."""

from tanagerloft.filters import errors

Refusal = errors.Refusal
limit_exceeded = errors.limit_exceeded

MALFORMED = Refusal("malformed_request", 400, "The request cannot be read.")
TOO_LARGE = Refusal("too_large", 413, "The body is too large.")
HEADERS_TOO_LARGE = Refusal(
    "headers_too_large", 431, "The headers are too large."
)
SLOW_SENDER = Refusal("slow_sender", 408, "The request did not arrive in time.")
KEY_MISSING = errors.KEY_MISSING
KEY_UNKNOWN = Refusal("key_unknown", 401, "The key is not valid.")
UNKNOWN_ROUTE = errors.UNKNOWN_ROUTE
LIMIT_UNCONFIRMED = errors.LIMIT_UNCONFIRMED
CONFIGURATION_OUTDATED = errors.CONFIGURATION_OUTDATED
NOT_CONFIGURED = errors.NOT_CONFIGURED._replace(retry_after_ms=500)
KEYS_UNCONFIRMED = errors.KEYS_UNCONFIRMED._replace(retry_after_ms=500)
MODEL_NOT_READY = Refusal(
    "model_not_ready",
    503,
    "The model cannot be ready in time.",
    retry_after_ms=2_000,
)
MODEL_NOT_DECLARED = Refusal(
    "model_not_declared",
    503,
    "The configuration in force does not declare the model.",
)
NO_TARGET = Refusal(
    "no_target", 503, "No target can take the request.", retry_after_ms=500
)
NO_BUDGET = Refusal(
    "no_budget",
    503,
    "Too many requests are sent again already.",
    retry_after_ms=500,
)
CRASHES_TARGETS = Refusal(
    "crashes_targets",
    503,
    "This request took down each target that ran it.",
    retry_after_ms=60_000,
)
PROMPT_PART_CRASHES_TARGETS = Refusal(
    "prompt_part_crashes_targets",
    503,
    "A part of this prompt took down each target that began to answer it.",
    retry_after_ms=60_000,
)
SOFTWARE_VERSION_GONE = Refusal(
    "software_version_gone",
    503,
    "No target of the version that began this stream can go on with it.",
)
SOFTWARE_VERSION_UNKNOWN = Refusal(
    "software_version_unknown",
    503,
    "The version that began this stream cannot be told now.",
    retry_after_ms=500,
)
STREAM_NOT_RECORDED = Refusal(
    "stream_not_recorded",
    503,
    "The version that would begin this stream cannot be recorded now.",
    retry_after_ms=500,
)
TARGETS_BACK_OFF = Refusal(
    "targets_back_off", 503, "The targets take no requests for a time."
)
TARGETS_LIMITED = Refusal(
    "targets_limited",
    503,
    "The targets take no more requests than they do now.",
)
OUT_OF_TIME = Refusal(
    "out_of_time", 503, "The time ended before the request was sent."
)
UNKNOWN_OUTCOME = Refusal(
    "unknown_outcome",
    502,
    "The request was sent; whether it ran is not known.",
    run=errors.UNKNOWN,
)
TIMEOUT = Refusal(
    "timeout",
    504,
    "The target did not answer in time.",
    run=errors.UNKNOWN,
)
STOPPING = errors.STOPPING._replace(retry_after_ms=100)
OVERLOADED = errors.OVERLOADED._replace(retry_after_ms=500)
