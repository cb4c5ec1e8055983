"""Tests of tanagerloft.config.settings."""

import pytest

from tanagerloft.config import errors
from tanagerloft.config import settings as settings_lib

_GOOD = """
[instance]
id = a
data_centre = dc-1
address = 127.0.0.1:8080
peer_address = 127.0.0.1:8081
[platform]
table_url = http://127.0.0.1:1/
instances_url = http://127.0.0.1:1/instances
timeout_ms = 700
"""


def test_values_and_defaults():
    settings = settings_lib.parse(_GOOD, "a.ini")
    assert settings.get("platform", "timeout_ms") == 700
    assert settings.get("instance", "address") == ("127.0.0.1", 8080)
    assert settings.get("log", "level") == "INFO"


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("id = a\n", "", "a.ini: [instance] id: value is missing"),
        ("id = a\n", "id =\n", "a.ini: [instance] id: value is missing"),
        (
            "timeout_ms = 700",
            "timeout_s = 1",
            "a.ini: [platform] timeout_s: wrong unit, the key is timeout_ms",
        ),
        (
            "timeout_ms = 700",
            "timeout_ms = 1s",
            "a.ini: [platform] timeout_ms:"
            " expected a whole number of milliseconds, got '1s'",
        ),
        ("timeout_ms", "colour", "a.ini: [platform] colour: unknown key"),
        ("[platform]", "[weather]", "a.ini: [weather]: unknown section"),
        (
            "address = 127.0.0.1:8080",
            "address = here",
            "a.ini: [instance] address: expected host:port, got 'here'",
        ),
    ],
)
def test_fault_names_file_section_and_key(old, new, message):
    result = settings_lib.parse(_GOOD.replace(old, new, 1), "a.ini")
    assert isinstance(result, errors.SettingsError)
    assert str(result) == message


def test_more_open_requests_than_threads_is_refused():
    text = _GOOD + "[server]\nthreads = 4\nmax_in_flight = 4\n"
    result = settings_lib.parse(text, "a.ini")
    assert (result.section, result.key) == ("server", "max_in_flight")
