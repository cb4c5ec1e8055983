"""Names of the wire format occur only in the adapter."""

import pathlib
import re

_PACKAGE = pathlib.Path(__file__).parents[2] / "tanagerloft"
_NAMES = (
    "attempt-id",
    "deadline-ms",
    "token-counts",
    "prompt-prefix",
    "response-seal",
    "not-executed",
    "expect-instance",
    "request-priority",
    "length-hint",
    "instance-id",
    "server-limit",
    "/tanagerloft/",
    "rows-get",
    "rows-feed",
    "rows-tx",
    "tombstone",
    "api_keys",
    "rate_per_s",
    "plain_tokens",
    "traffic_split",
    "target_latency_ms",
    "max_attempts",
    "max_conns",
    "health_path",
    "gap_aim_ms",
    "non_idempotent",
    "weights_mb",
    "adapter_mb",
    "adapter_slots",
    "warm_s",
    "at_hand",
    "draining",
    "tenant",
    "zone",
)


def test_wire_names_occur_only_in_the_adapter():
    # Headers match in any case, fields exactly.
    pattern = re.compile(
        "|".join(
            f"(?i:{re.escape(name)})" if "-" in name else re.escape(name)
            for name in _NAMES
        )
    )
    found = [
        f"{path.relative_to(_PACKAGE)}: {match.group()}"
        for path in sorted(_PACKAGE.rglob("*.py"))
        if path.relative_to(_PACKAGE).parts[0] != "platform"
        for match in pattern.finditer(path.read_text())
    ]
    assert not found


def test_the_adapter_makes_no_decisions():
    # It may use the types and interfaces of other layers, of the decisions only
    # the types of orders, and no timers or tasks.
    for path in (_PACKAGE / "platform").glob("*.py"):
        text = path.read_text()
        assert "asyncio" not in text, path
        assert "call_later" not in text, path
