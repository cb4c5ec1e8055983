"""Names in the platform's wire format: headers, paths, tables."""

# Request headers of callers, in lower case.
REQUEST_ID = b"attempt-id"
DEADLINE_MS = b"deadline-ms"
MODEL = b"model"
TOKENS = b"token-counts"
PROMPT_PARTS = b"prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
RESUMED_ID = b"resumes"
AUTHORIZATION = b"authorization"

# Headers that the instance sets for the target.
ACCOUNT = b"tenant"
EXPECTED_TARGET = b"expect-instance"
PRIORITY = b"request-priority"

# Headers that only the instance may set; those of callers are dropped.
RESERVED = frozenset(
    (
        ACCOUNT,
        EXPECTED_TARGET,
        PRIORITY,
        b"expect-version",
        b"hold",
        b"pin-ms",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
    )
)

# Headers of responses.
SEAL = b"response-seal"
NOT_RUN = b"not-executed"
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
LIMIT_PER_S = b"server-limit"

# Header of all responses of the store; rises with each restore.
STORE_ERA = b"store-era"

# Hop-by-hop headers: they concern one connection only.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)

READY_PATH = b"/tanagerloft/ready"
METRICS_PATH = b"/metrics"
ORDER_PATH = "/tanagerloft/order"
REPORT_PATH = "/tanagerloft/report"

# Tables of the store that the platform writes.
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
TARGETS_TABLE = "servers"
