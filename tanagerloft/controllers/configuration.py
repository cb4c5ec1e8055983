"""Controller of the active configuration and its API keys."""

from collections.abc import Callable
import logging
import threading
from typing import Any

from tanagerloft.config import inventory as inventory_lib
from tanagerloft.config import inventory_text
from tanagerloft.config import store
from tanagerloft.decisions import freshness
from tanagerloft.filters import context as context_lib
from tanagerloft.filters import errors
from tanagerloft.peers import bus as bus_lib
from tanagerloft.peers import errors as peer_errors
from tanagerloft.tables import errors as table_errors
from tanagerloft.tables import table as table_lib
from tanagerloft.util import clock as clock_lib

logger = logging.getLogger(__name__)

_NEVER_MS = -(10**12)
_FETCH_TIMEOUT_MS = 2_000


class ConfigurationController:
    """Follows the configuration version of the table, which only increases.

    Args:
        table: The platform's table.
        clock: Clock of the process.
        freshness_ms: Age from which an unconfirmed set of keys is not used.
        wake: Wakes the loop that calls ``tick``.
    """

    def __init__(
        self,
        table: table_lib.Table,
        clock: clock_lib.Clock,
        freshness_ms: int,
        wake: Callable[[], None] = lambda: None,
    ):
        self._wake = wake
        self._announce: Callable[[int], None] = lambda _number: None
        self._table = table
        self._clock = clock
        self._freshness_ms = freshness_ms
        self._lock = threading.Lock()
        self._version = store.NONE
        self._accounts_by_digest: dict[str, str] = {}
        self._confirmed_ms = _NEVER_MS
        self._peers: dict[str, str] = {}
        self._peer_statuses: dict[str, freshness.PeerTableStatus] = {}
        self._last_freshness = freshness.Freshness.CURRENT

    @property
    def version(self) -> store.Version:
        """The version that is active at this instance."""
        return self._version

    def tick(self) -> None:
        """Reads the version number of the table, and the version if new."""
        asked_ms = self._clock.now_ms()
        number = store.read_number(self._table)
        if isinstance(number, table_errors.TableError):
            return
        if number > self._version.number:
            version = store.read(self._table, number)
            if isinstance(version, table_errors.TableError):
                logger.warning("version %d unreadable: %s", number, version)
                return
            self.adopt(version)
        if number >= self._version.number:
            self._confirmed_ms = asked_ms

    def on_adopted(self, announce: Callable[[int], None]) -> None:
        """Sets the callback that receives the number of each new version."""
        self._announce = announce

    def on_peer_version(self, payload: Any) -> None:
        """Wakes the loop if a peer has activated a later version."""
        if payload > self._version.number:
            self._wake()

    def adopt(self, version: store.Version) -> None:
        """Activates ``version`` if it is later than the current one."""
        with self._lock:
            if version.number <= self._version.number:
                return
            self._accounts_by_digest = {
                key.sha256: key.account
                for key in version.inventory.keys.values()
            }
            self._version = version
        logger.info("configuration version %d in force", version.number)
        self._announce(version.number)

    def version_for_peers(self, _payload: Any) -> list[Any]:
        """Returns the active version in the form that peers exchange."""
        version = self._version
        return [version.number, inventory_text.dump(version.inventory)]

    def fetch_from_peer(self, bus: bus_lib.Peers, address: str) -> None:
        """Adopts the version of a peer if it is later than the active one."""
        answer = bus.call(address, "configuration", None, _FETCH_TIMEOUT_MS)
        if isinstance(answer, peer_errors.CallFailed):
            return
        number, text = answer
        inventory = inventory_text.parse(text)
        if isinstance(inventory, inventory_lib.Inventory):
            self.adopt(store.Version(number, inventory))

    def needs_peers(self) -> bool:
        """Returns whether the table is silent for half of ``freshness_ms``."""
        return 2 * self.table_age_ms() > self._freshness_ms

    def update_peer_statuses(
        self,
        peers: dict[str, str],
        statuses: dict[str, freshness.PeerTableStatus],
    ) -> None:
        """Updates the peers that were queried and their table status.

        Args:
            peers: Data centre of each peer queried.
            statuses: Latest reply of each peer.
        """
        self._peers = peers
        self._peer_statuses = statuses

    def table_age_ms(self) -> int:
        """Returns the time since the table last confirmed the version."""
        return self._clock.now_ms() - self._confirmed_ms

    def freshness(self) -> freshness.Freshness:
        """Returns whether the active keys may be used."""
        result = freshness.assess(
            self._version.number,
            self._confirmed_ms,
            self._clock.now_ms(),
            self._freshness_ms,
            self._peers,
            self._peer_statuses,
        )
        if result is not self._last_freshness:
            self._last_freshness = result
            logger.warning("keys are now: %s", result.value)
        return result

    def is_ready(self) -> bool:
        """Returns whether requests can be checked by this configuration."""
        return self._version.number > 0 and self._keys_usable()

    def target(self, name: str) -> inventory_lib.Target | None:
        """Returns a target of the active version."""
        return self._version.inventory.targets.get(name)

    def check_key(
        self, context: context_lib.RequestContext
    ) -> errors.Refusal | None:
        """Sets the client account of the request from its key's digest."""
        if not self._keys_usable():
            return errors.KEYS_UNCONFIRMED
        name = self._accounts_by_digest.get(context.key_digest)
        if name is None:
            return errors.KEY_INVALID
        context.account = self._version.inventory.accounts[name]
        return None

    def recheck_key(
        self, context: context_lib.RequestContext
    ) -> errors.Refusal | None:
        """Checks that the key of an admitted request is still valid."""
        if context.account is None:
            return None
        name = self._accounts_by_digest.get(context.key_digest)
        if name != context.account.name:
            return errors.KEY_WITHDRAWN
        if not self._keys_usable():
            return errors.KEYS_UNCONFIRMED
        return None

    def _keys_usable(self) -> bool:
        return self.freshness() in (
            freshness.Freshness.CURRENT,
            freshness.Freshness.TABLE_DOWN,
        )
