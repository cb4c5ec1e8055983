"""Settings of an instance on the users' platform."""

import pytest

from tanagerloft.config import errors
from tanagerloft.config import fleet_settings
from tanagerloft.config import settings

_SMALLEST = """
[instance]
id = i-1
data_centre = dc
[listen]
callers = 127.0.0.1:1
ready = 127.0.0.1:2
metrics = 127.0.0.1:3
peers = 127.0.0.1:4
[store]
address = 127.0.0.1:5
"""


def _parse(text: str) -> settings.Settings | errors.SettingsError:
    return settings.parse(text, "test.ini", fleet_settings.TABLE)


def test_what_is_left_out_has_a_default():
    found = _parse(_SMALLEST + "[stop]\n[retries]\n")
    assert isinstance(found, settings.Settings)
    assert found.get("stop", "grace_s") == 8.0


@pytest.mark.parametrize(("text", "value"), [("8", 8.0), ("8.5", 8.5)])
def test_seconds_may_have_fractions(text, value):
    found = _parse(_SMALLEST + f"[stop]\ngrace_s = {text}\n")
    assert isinstance(found, settings.Settings)
    assert found.get("stop", "grace_s") == value


@pytest.mark.parametrize("text", ["-1", "soon", "nan", "inf", ""])
def test_other_seconds_are_refused_by_name(text):
    found = _parse(_SMALLEST + f"[stop]\ngrace_s = {text}\n")
    assert isinstance(found, errors.SettingsError)
    assert found.key == "grace_s"


def test_a_missing_address_is_named():
    found = _parse(_SMALLEST.replace("peers = 127.0.0.1:4\n", ""))
    assert isinstance(found, errors.SettingsError)
    assert (found.section, found.key) == ("listen", "peers")
