"""Settings of one process: the table of keys, loading and checking."""

import configparser
import math
from typing import Any
from typing import NamedTuple

from tanagerloft.config import errors

REQUIRED = object()
_UNIT_SUFFIXES = ("_ms", "_s", "_bytes", "_mb", "_kb")
_UNIT_WORDS = {"_ms": "milliseconds", "_bytes": "bytes", "_mb": "megabytes"}


class Setting(NamedTuple):
    """One setting.

    Attributes:
        section: INI section.
        key: Key; its suffix is its unit.
        default: Value if left out, or ``REQUIRED``.
        kind: ``str``, ``int``, ``decimal`` or ``address`` (host:port).
        doc: One line for operators.
    """

    section: str
    key: str
    default: Any
    kind: str
    doc: str


class Address(NamedTuple):
    """IP address and port to listen on or connect to."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns ``host:port``."""
        return f"{self.host}:{self.port}"


TABLE = (
    Setting("instance", "id", REQUIRED, "str", "Name, the same after restart"),
    Setting("instance", "data_centre", REQUIRED, "str", "Where it runs"),
    Setting("instance", "address", REQUIRED, "address", "Callers' HTTP"),
    Setting("instance", "peer_address", REQUIRED, "address", "Other instances"),
    Setting("platform", "table_url", REQUIRED, "str", "URL of the table"),
    Setting(
        "platform", "table_name", "tanagerloft", "str", "Name of the table"
    ),
    Setting(
        "platform", "instances_url", REQUIRED, "str", "URL of the instance list"
    ),
    Setting("platform", "timeout_ms", 800, "int", "Bound on one platform call"),
    Setting("server", "threads", 96, "int", "Worker threads"),
    Setting(
        "server", "max_in_flight", 80, "int", "Requests at once; below threads"
    ),
    Setting("server", "max_body_bytes", 2_000_000, "int", "Request body"),
    Setting("server", "max_header_bytes", 16_384, "int", "Request headers"),
    Setting(
        "server", "read_timeout_ms", 5_000, "int", "Bound on a slow sender"
    ),
    Setting(
        "server",
        "lame_duck_ms",
        3_000,
        "int",
        "Time from failing readiness to refusing new requests",
    ),
    Setting(
        "server", "drain_timeout_ms", 60_000, "int", "Bound on graceful stop"
    ),
    Setting("configuration", "poll_interval_ms", 1_000, "int", "Version check"),
    Setting(
        "configuration",
        "freshness_ms",
        4_000,
        "int",
        "Age at which an unconfirmed set of keys is no longer used",
    ),
    Setting(
        "queue", "max_waiting", 1_000, "int", "Requests waiting for a model"
    ),
    Setting(
        "queue", "max_per_target", 32, "int", "Requests at one target at once"
    ),
    Setting(
        "placement", "keep_warm_ms", 600_000, "int", "Idle time before unload"
    ),
    Setting(
        "limits", "grant_timeout_ms", 150, "int", "Wait for a peer's grant"
    ),
    Setting("limits", "lease_ms", 1_200_000, "int", "Lease of a limit share"),
    Setting("relay", "idle_timeout_ms", 20_000, "int", "Silence of a target"),
    Setting("log", "level", "INFO", "str", "Level of the logging library"),
)


class Settings:
    """Checked settings of one process, by section and key."""

    def __init__(self, values: dict[tuple[str, str], Any]):
        self._values = values

    def get(self, section: str, key: str) -> Any:
        """Returns the value of a setting that is in ``TABLE``."""
        return self._values[section, key]


def load(
    path: str, table: tuple[Setting, ...] = TABLE
) -> Settings | errors.SettingsError:
    """Reads and checks an INI file against a table of settings."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as error:
        return errors.SettingsError(path, "", "", str(error.strerror))
    return parse(text, path, table)


def parse(
    text: str, path: str, table: tuple[Setting, ...] = TABLE
) -> Settings | errors.SettingsError:
    """Checks settings given as text; ``path`` is for messages."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return errors.SettingsError(path, "", "", error.message)
    unknown = _first_unknown(parser, path, table)
    if unknown is not None:
        return unknown
    return _read_all(parser, path, table)


def _read_all(
    parser: configparser.ConfigParser, path: str, table: tuple[Setting, ...]
) -> Settings | errors.SettingsError:
    values = {}
    for setting in table:
        section, key = setting.section, setting.key
        raw = parser.get(section, key, fallback=None)
        if raw is None and setting.default is REQUIRED:
            return errors.SettingsError(path, section, key, "value is missing")
        value = setting.default if raw is None else _convert(setting, raw)
        if isinstance(value, _Invalid):
            return errors.SettingsError(path, section, key, value.reason)
        values[section, key] = value
    threads = values.get(("server", "threads"))
    if threads is not None and values["server", "max_in_flight"] >= threads:
        return errors.SettingsError(
            path, "server", "max_in_flight", "must be below [server] threads"
        )
    return Settings(values)


class _Invalid(NamedTuple):
    reason: str


def _first_unknown(
    parser: configparser.ConfigParser, path: str, table: tuple[Setting, ...]
) -> errors.SettingsError | None:
    known = {(setting.section, setting.key) for setting in table}
    sections = {setting.section for setting in table}
    for section in parser.sections():
        if section not in sections:
            return errors.SettingsError(path, section, "", "unknown section")
        for key in parser.options(section):
            if (section, key) not in known:
                reason = _unknown_reason(section, key, table)
                return errors.SettingsError(path, section, key, reason)
    return None


def _unknown_reason(section: str, key: str, table: tuple[Setting, ...]) -> str:
    stem = _without_unit(key)
    for setting in table:
        if setting.section == section and _without_unit(setting.key) == stem:
            return f"wrong unit, the key is {setting.key}"
    return "unknown key"


def _without_unit(key: str) -> str:
    for suffix in _UNIT_SUFFIXES:
        if key.endswith(suffix):
            return key.removesuffix(suffix)
    return key


def _convert(setting: Setting, raw: str) -> Any:
    if not raw:
        return _Invalid("value is missing")
    if setting.kind == "int":
        return _convert_int(setting, raw)
    if setting.kind == "decimal":
        return _convert_decimal(setting, raw)
    if setting.kind == "address":
        return _convert_address(raw)
    return raw


def _convert_int(setting: Setting, raw: str) -> int | _Invalid:
    if raw.isascii() and raw.isdigit():
        return int(raw)
    for suffix, word in _UNIT_WORDS.items():
        if setting.key.endswith(suffix):
            return _Invalid(f"expected a whole number of {word}, got {raw!r}")
    return _Invalid(f"expected a whole number, got {raw!r}")


def _convert_decimal(setting: Setting, raw: str) -> float | _Invalid:
    try:
        value = float(raw)
    except ValueError:
        value = -1.0
    if 0 <= value < math.inf:
        return value
    unit = " of seconds" if setting.key.endswith("_s") else ""
    return _Invalid(f"expected a number{unit}, got {raw!r}")


def _convert_address(raw: str) -> Address | _Invalid:
    host, _, port = raw.rpartition(":")
    if host and port.isascii() and port.isdigit() and int(port) < 65_536:
        return Address(host, int(port))
    return _Invalid(f"expected host:port, got {raw!r}")
