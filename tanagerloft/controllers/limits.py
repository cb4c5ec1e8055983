"""Controller of client accounts' limits: shares, buckets and grants."""

import logging
import threading
from typing import Any
from typing import NamedTuple

from tanagerloft.config import inventory as inventory_lib
from tanagerloft.controllers import configuration as configuration_lib
from tanagerloft.controllers import membership as membership_lib
from tanagerloft.decisions import bucket as bucket_lib
from tanagerloft.decisions import errors as decision_errors
from tanagerloft.decisions import homes
from tanagerloft.decisions import shares
from tanagerloft.peers import bus as bus_lib
from tanagerloft.peers import errors as peer_errors
from tanagerloft.platform import errors as platform_errors
from tanagerloft.platform import rows
from tanagerloft.platform import table as table_lib
from tanagerloft.util import clock as clock_lib
from tanagerloft.util import ids

logger = logging.getLogger(__name__)

_MIN_RETRY_MS = 200
_MIN_READ_MS = 2_000
_READ_PER_INSTANCE_MS = 100
_SILENT_PEER_MS = 2_000


class Grant(NamedTuple):
    """Tokens that another instance took out of its bucket for this one."""

    holder: str
    address: str
    incarnation: str
    reservation: bucket_lib.Reservation


class Charge(NamedTuple):
    """Tokens taken for one request.

    Attributes:
        account: Name of the client account.
        cost_tokens: Amount taken.
        local: Part taken from this instance's bucket.
        grants: Parts taken from others' buckets.
    """

    account: str
    cost_tokens: int
    local: bucket_lib.Reservation
    grants: tuple[Grant, ...] = ()


class _AccountState:
    """Shares of one account that this instance holds."""

    def __init__(self, now_ms: int):
        self.bucket = bucket_lib.TokenBucket(now_ms)
        self.slots: frozenset[int] = frozenset()
        self.row: table_lib.Row | None = None
        # Set while a hand-back may still take effect at this revision.
        self.handing_back: _HandBack | None = None


class _HandBack(NamedTuple):
    slots: frozenset[int]
    micro_tokens: int
    expected_revision: int


class LimitController:
    """Token buckets over this instance's shares of each account's limit.

    A request is charged to the local bucket; what that lacks is asked of the
    other holders, who take it out of their buckets before they answer.
    """

    def __init__(
        self,
        table: table_lib.Table,
        configuration: configuration_lib.ConfigurationController,
        membership: membership_lib.MembershipController,
        bus: bus_lib.Bus,
        clock: clock_lib.Clock,
        grant_timeout_ms: int,
    ):
        self._table = table
        self._configuration = configuration
        self._membership = membership
        self._bus = bus
        self._clock = clock
        self._grant_ms = grant_timeout_ms
        identity = membership.identity
        self._me = shares.Self(identity.instance_id, identity.incarnation)
        self._lock = threading.Lock()
        self._accounts: dict[str, _AccountState] = {}
        self._silent_until_ms: dict[str, int] = {}
        self._read_due_ms = 0
        self._has_read = False
        self._open_tokens = 0
        self._settled = False
        bus.handle("grant", self._answer_grant)
        bus.handle("settle", self._answer_settle)

    def charge(
        self, account: inventory_lib.Account, cost_tokens: int
    ) -> Charge | decision_errors.LimitExceeded:
        """Takes the tokens for a request, or nothing."""
        cost_micro = bucket_lib.to_micro(cost_tokens)
        if cost_micro > self._size(account, shares.SLOTS).cap_micro_tokens:
            return decision_errors.LimitExceeded(0)
        asked_ms = self._clock.now_ms()
        with self._lock:
            state = self._state(account.name, asked_ms)
            self._drop_if_lapsed(state, asked_ms)
            local = state.bucket.take_up_to(cost_micro, asked_ms)
            self._open_tokens += cost_tokens
        missing = cost_micro - local.micro_tokens
        if missing == 0:
            return Charge(account.name, cost_tokens, local)
        grants = self._gather(account.name, missing, asked_ms)
        charge = Charge(account.name, cost_tokens, local, tuple(grants))
        granted = sum(g.reservation.micro_tokens for g in grants)
        in_time = self._clock.now_ms() - asked_ms <= self._grant_ms
        if granted == missing and in_time:
            return charge
        self.settle(charge, 0)
        return decision_errors.LimitExceeded(
            self._retry_ms(account, cost_micro)
        )

    def settle(self, charge: Charge, used_tokens: int) -> None:
        """Gives back what a request did not use."""
        left = bucket_lib.to_micro(min(used_tokens, charge.cost_tokens))
        for grant in charge.grants:
            used = min(left, grant.reservation.micro_tokens)
            left -= used
            if used < grant.reservation.micro_tokens:
                payload = [
                    charge.account,
                    grant.incarnation,
                    *grant.reservation,
                    used,
                ]
                self._bus.begin_call(
                    grant.address, "settle", payload, self._grant_ms
                )
        now_ms = self._clock.now_ms()
        with self._lock:
            state = self._state(charge.account, now_ms)
            state.bucket.settle(charge.local, left, now_ms)
            self._open_tokens -= charge.cost_tokens

    def open_tokens(self) -> int:
        """Returns the tokens that requests have taken and not yet settled."""
        return self._open_tokens

    def tick(self) -> None:
        """Reads the shares' rows, takes free shares and hands back surplus."""
        now_ms = self._clock.now_ms()
        waits = not self._membership.lease_holds(now_ms)
        if waits or now_ms < self._read_due_ms:
            return
        instance_count = len(self._membership.live())
        interval_ms = max(_MIN_READ_MS, instance_count * _READ_PER_INSTANCE_MS)
        found = self._table.scan(rows.LIMIT)
        if isinstance(found, platform_errors.TableError):
            return
        self._read_due_ms = now_ms + interval_ms
        self._has_read = True
        by_name = {row.key.name: row for row in found}
        for account in self._configuration.version.inventory.accounts.values():
            key = rows.limit(account.name)
            absent = table_lib.Row(key, 0, "", {})
            self._follow(account, by_name.get(account.name, absent))
        if not self.is_settled():
            self._read_due_ms = 0
            self._membership.refresh()

    def is_settled(self) -> bool:
        """Returns whether requests of each account can be charged somewhere.

        Once true it stays so: a holder that dies later costs tokens, not
        readiness. Without the table it is true, because any peer is asked for
        grants then.
        """
        if not self._settled:
            self._settled = self._all_have_holders()
        return self._settled or self._configuration.needs_peers()

    def _all_have_holders(self) -> bool:
        reachable = {self._me.instance_id, *self._membership.peer_addresses()}
        return self._has_read and all(
            reachable.intersection(self._holders(name))
            for name in self._configuration.version.inventory.accounts
        )

    def hand_back_all(self) -> None:
        """Hands back all shares, with their tokens, before the process ends."""
        for name, state in list(self._accounts.items()):
            row = self._table.read(rows.limit(name))
            if isinstance(row, platform_errors.TableError) or not state.slots:
                continue
            state.row = row
            self._hand_back(name, state, state.slots)

    def held(self) -> dict[str, int]:
        """Returns the number of shares held of each account's limit."""
        with self._lock:
            return {
                name: len(state.slots) for name, state in self._accounts.items()
            }

    def _size(self, account: inventory_lib.Account, slots: int) -> shares.Size:
        return shares.size(
            slots,
            account.rate_tokens_per_s,
            account.burst_tokens,
            self._grant_ms,
        )

    def _state(self, name: str, now_ms: int) -> _AccountState:
        if name not in self._accounts:
            self._accounts[name] = _AccountState(now_ms)
        return self._accounts[name]

    def _drop_if_lapsed(self, state: _AccountState, now_ms: int) -> None:
        """Gives up all shares if this instance's lease does not hold."""
        if state.slots and not self._membership.lease_holds(now_ms):
            state.slots = frozenset()
            state.bucket.resize(0, 0, now_ms)
            logger.warning("lease lapsed, shares given up")

    def _retry_ms(self, account: inventory_lib.Account, cost: int) -> int:
        rate_milli = max(1, account.rate_tokens_per_s * 1_000)
        return max(_MIN_RETRY_MS, cost // rate_milli // 2)

    def _follow(
        self, account: inventory_lib.Account, row: table_lib.Row
    ) -> None:
        """Brings the bucket in line with a row, then changes the row."""
        now_ms = self._clock.now_ms()
        body = row.body
        if not body:
            cap = self._size(account, shares.SLOTS).cap_micro_tokens
            body = shares.initial_body(cap)
        with self._lock:
            state = self._state(account.name, now_ms)
            state.row = row
        if not self._settle_hand_back(state):
            return
        with self._lock:
            state.slots = shares.held_by(body, self._me)
            self._drop_if_lapsed(state, now_ms)
            self._resize(account, state, now_ms)
        if not self._membership.lease_holds(now_ms):
            return
        lapsed = self._membership.lapsed(now_ms)
        change = shares.plan(
            account.name, body, self._me, self._membership.live(), lapsed
        )
        if change is None:
            return
        if change.returned:
            self._hand_back(account.name, state, change.returned)
        else:
            self._take(account, state, change, lapsed)

    def _resize(
        self, account: inventory_lib.Account, state: _AccountState, now_ms: int
    ) -> None:
        size = self._size(account, len(state.slots))
        state.bucket.resize(
            size.rate_milli_per_s, size.cap_micro_tokens, now_ms
        )

    def _take(
        self,
        account: inventory_lib.Account,
        state: _AccountState,
        change: shares.Change,
        lapsed: dict[str, int],
    ) -> None:
        row = state.row
        assert row is not None
        losers = {
            row.body["slots"][index]["holder"]
            for index in change.taken
            if row.body
        }
        checks = tuple(
            table_lib.Check(rows.instance(name), lapsed[name])
            for name in sorted(losers & set(lapsed))
        )
        put = table_lib.Put(row.key, row.revision, change.body)
        result = table_lib.commit_resolved(
            self._table, table_lib.Transaction(ids.new_id(), (put,), checks)
        )
        if not isinstance(result, table_lib.Committed):
            self._read_due_ms = 0
            return
        now_ms = self._clock.now_ms()
        with self._lock:
            state.row = _written(put, result)
            state.slots |= change.taken
            self._resize(account, state, now_ms)
            state.bucket.fill(change.taken_micro_tokens, now_ms)
        logger.info(
            "%s: holds %d shares of the limit", account.name, len(state.slots)
        )

    def _hand_back(
        self, name: str, state: _AccountState, slots: frozenset[int]
    ) -> None:
        """Stops using ``slots``, then records that they are free."""
        account = self._configuration.version.inventory.accounts.get(name)
        row = state.row
        if account is None or row is None or not row.body:
            return
        now_ms = self._clock.now_ms()
        with self._lock:
            state.slots -= slots
            before = state.bucket.available(now_ms)
            self._resize(account, state, now_ms)
            tokens = before - state.bucket.available(now_ms)
        state.handing_back = _HandBack(slots, tokens, row.revision)
        self._settle_hand_back(state)

    def _settle_hand_back(self, state: _AccountState) -> bool:
        """Commits a pending hand-back until its outcome is known.

        While the row is at the expected revision, a commit whose answer was
        lost may still take effect, so the slots must not be used again.

        Returns:
            Whether no hand-back is pending and the row may be acted upon.
        """
        pending, row = state.handing_back, state.row
        if pending is None:
            return True
        assert row is not None
        if row.revision != pending.expected_revision:
            state.handing_back = None
            return True
        body = shares.hand_back(row.body, pending.slots, pending.micro_tokens)
        put = table_lib.Put(row.key, row.revision, body)
        result = table_lib.commit_resolved(
            self._table, table_lib.Transaction(ids.new_id(), (put,))
        )
        if isinstance(result, table_lib.Committed):
            state.handing_back = None
            state.row = _written(put, result)
        return False

    def _gather(self, name: str, missing: int, asked_ms: int) -> list[Grant]:
        """Asks the other holders, one after another, for what is missing."""
        grants: list[Grant] = []
        addresses = self._membership.peer_addresses()
        me = self._me.instance_id
        for holder in self._holders(name) or homes.rank(name, addresses):
            now_ms = self._clock.now_ms()
            left_ms = self._grant_ms - (now_ms - asked_ms)
            if missing == 0 or left_ms <= 0:
                break
            if holder == me or holder not in addresses:
                continue
            if self._silent_until_ms.get(holder, 0) > now_ms:
                continue
            grant = self._ask(holder, addresses[holder], name, missing, left_ms)
            if grant is not None:
                grants.append(grant)
                missing -= grant.reservation.micro_tokens
        return grants

    def _holders(self, name: str) -> list[str]:
        """Returns who holds shares as far as known, nobody if not known."""
        state = self._accounts.get(name)
        if state is None or state.row is None:
            return []
        return shares.holders(state.row.body)

    def _ask(
        self, holder: str, address: str, name: str, missing: int, left_ms: int
    ) -> Grant | None:
        answer = self._bus.call(address, "grant", [name, missing], left_ms)
        if isinstance(answer, peer_errors.CallFailed):
            now_ms = self._clock.now_ms()
            self._silent_until_ms[holder] = now_ms + _SILENT_PEER_MS
            return None
        incarnation, *taken = answer
        reservation = bucket_lib.Reservation(*taken)
        if reservation.micro_tokens == 0:
            return None
        return Grant(holder, address, incarnation, reservation)

    def _answer_grant(self, payload: Any) -> list[Any]:
        name, missing = payload
        now_ms = self._clock.now_ms()
        with self._lock:
            state = self._state(name, now_ms)
            self._drop_if_lapsed(state, now_ms)
            reservation = state.bucket.take_up_to(missing, now_ms)
        return [self._me.incarnation, *reservation]

    def _answer_settle(self, payload: Any) -> None:
        name, incarnation, sequence, micro_tokens, used = payload
        if incarnation != self._me.incarnation:
            return
        now_ms = self._clock.now_ms()
        with self._lock:
            state = self._state(name, now_ms)
            reservation = bucket_lib.Reservation(sequence, micro_tokens)
            state.bucket.settle(reservation, used, now_ms)


def _written(
    put: table_lib.Put, committed: table_lib.Committed
) -> table_lib.Row:
    """Returns the row as a committed write has left it."""
    return table_lib.Row(
        put.key, put.expected_revision + 1, committed.operation_id, put.body
    )
