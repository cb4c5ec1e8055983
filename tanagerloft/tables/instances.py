"""The platform's list of instances.

The list has the form of Prometheus HTTP service discovery: an array of objects
with ``targets`` and ``labels``. Labels used: ``instance``, ``state`` (``live``,
``leaving`` or ``gone``) and ``data_centre``; the target is the address for
peers. It lags.
"""

from typing import NamedTuple

from tanagerloft.tables import errors
from tanagerloft.util import http

LIVE = "live"
LEAVING = "leaving"
GONE = "gone"


class Listed(NamedTuple):
    """One instance as the platform lists it."""

    instance_id: str
    peer_address: str
    state: str


def fetch(
    client: http.HttpClient, url: str, timeout_ms: int
) -> list[Listed] | errors.TableError:
    """Asks the platform for its list."""
    response = client.send(http.HttpRequest("GET", url, timeout_ms=timeout_ms))
    if isinstance(response, http.HttpFailure):
        return errors.unavailable(response.reason)
    groups = response.json()
    if response.status != 200 or not isinstance(groups, list):
        return errors.unavailable(f"instance list answered {response.status}")
    return [
        Listed(group["labels"]["instance"], address, group["labels"]["state"])
        for group in groups
        for address in group["targets"]
    ]
