"""Controller of the limits of client accounts: shares, buckets and grants."""

import logging
import threading
from typing import Any

from tanagerloft.config import inventory as inventory_lib
from tanagerloft.controllers import configuration as configuration_lib
from tanagerloft.controllers import grants as grants_lib
from tanagerloft.controllers import limit_rows
from tanagerloft.controllers import membership as membership_lib
from tanagerloft.decisions import account_shares
from tanagerloft.decisions import bucket as bucket_lib
from tanagerloft.decisions import errors as decision_errors
from tanagerloft.decisions import rendezvous
from tanagerloft.decisions import shares
from tanagerloft.peers import bus as bus_lib
from tanagerloft.tables import errors as table_errors
from tanagerloft.tables import rows
from tanagerloft.tables import table as table_lib
from tanagerloft.util import clock as clock_lib

logger = logging.getLogger(__name__)

_MIN_RETRY_MS = 200
_MIN_READ_INTERVAL_MS = 30_000
_NOTIFIED_PEERS = 8
_READ_PER_INSTANCE_MS = 100


class LimitController:
    """Token buckets over this instance's shares of each account's limit.

    A request is charged to the local bucket. Tokens that are missing there are
    requested from the other holders of shares, which deduct them from their own
    buckets before they reply.
    """

    def __init__(
        self,
        table: table_lib.Table,
        configuration: configuration_lib.ConfigurationController,
        membership: membership_lib.MembershipController,
        bus: bus_lib.Peers,
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
        self._me = shares.InstanceIncarnation(
            identity.instance_id, identity.incarnation
        )
        self._lock = threading.Lock()
        self._accounts: dict[str, account_shares.AccountShares] = {}
        self._grant_client = grants_lib.GrantClient(
            self._me.instance_id, bus, clock, grant_timeout_ms
        )
        self._read_due_ms = 0
        self._fleet = account_shares.Fleet((), {})
        self._has_read = False
        self._settled = False
        self._open_tokens = 0
        bus.handle("grant", self._handle_grant)
        bus.handle("settle", self._handle_settle)
        bus.handle("handed back", self._on_peer_release)

    def charge(
        self, account: inventory_lib.Account, cost_tokens: int
    ) -> (
        grants_lib.Charge
        | decision_errors.LimitExceeded
        | decision_errors.LimitUnconfirmed
    ):
        """Reserves all tokens for a request, or none."""
        cost_micro = bucket_lib.to_micro_tokens(cost_tokens)
        if cost_micro > self._size(account, shares.SLOTS).cap_micro_tokens:
            return decision_errors.LimitExceeded(0)
        started_ms = self._clock.now_ms()
        with self._lock:
            state = self._state(account.name)
            local = state.reserve_up_to(cost_micro, started_ms)
            has_shares = bool(state.slots)
            self._open_tokens += cost_tokens
        missing = cost_micro - local.micro_tokens
        if missing == 0:
            return grants_lib.Charge(account.name, cost_tokens, local)
        collected = self._grant_client.collect(
            account.name,
            missing,
            self._holders(account.name),
            self._membership.peer_addresses(),
            self._size(account, 1),
        )
        charge = grants_lib.Charge(
            account.name, cost_tokens, local, collected.grants
        )
        granted = sum(grant.reservation.micro_tokens for grant in charge.grants)
        in_time = self._clock.now_ms() - started_ms <= self._grant_ms
        if granted == missing and in_time:
            return charge
        self.settle(charge, 0)
        if not (has_shares or collected.any_response):
            return decision_errors.LimitUnconfirmed("no holder of shares heard")
        if granted == missing or not collected.asked_all:
            return decision_errors.LimitUnconfirmed("grants came too late")
        return decision_errors.LimitExceeded(_retry_ms(account, cost_micro))

    def settle(self, charge: grants_lib.Charge, used_tokens: int) -> None:
        """Refunds the tokens that a request did not use."""
        left = bucket_lib.to_micro_tokens(min(used_tokens, charge.cost_tokens))
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
            self._state(charge.account).settle(charge.local, left, now_ms)
            self._open_tokens -= charge.cost_tokens

    def open_tokens(self) -> int:
        """Returns the tokens reserved by requests that are not settled yet."""
        return self._open_tokens

    def tick(self) -> None:
        """Reads the limit rows, acquires free shares and releases surplus."""
        now_ms = self._clock.now_ms()
        lease_until_ms = self._membership.lease_until_ms()
        self._renew(lease_until_ms, now_ms)
        self._update_fleet()
        if now_ms >= lease_until_ms or now_ms < self._read_due_ms:
            return
        found = self._table.scan(rows.LIMIT)
        if isinstance(found, table_errors.TableError):
            return
        self._read_due_ms = now_ms + self._read_interval_ms()
        self._has_read = True
        by_name = {row.key.name: row for row in found}
        for account in self._configuration.version.inventory.accounts.values():
            key = rows.limit(account.name)
            row = by_name.get(account.name) or table_lib.absent(key)
            self._update_account(account, row, lease_until_ms)
        if not self.is_settled():
            self._read_due_ms = 0
            self._membership.refresh()

    def _update_fleet(self) -> None:
        """Schedules an immediate read of the rows if the fleet has changed."""
        fleet = account_shares.Fleet(
            self._membership.live(), self._membership.lapsed()
        )
        if fleet != self._fleet:
            self._fleet = fleet
            self._read_due_ms = 0

    def is_settled(self) -> bool:
        """Returns whether requests of each account can be charged somewhere.

        Once true it stays true: if a holder fails later, tokens are lost but
        the instance stays ready. While the table is unreachable it is true if
        there are peers, because then any peer is asked for grants.
        """
        if not self._settled:
            self._settled = self._all_have_holders()
        return self._settled or (
            self._configuration.needs_peers()
            and bool(self._membership.peer_addresses())
        )

    def release_all(self) -> None:
        """Releases all shares, with their tokens, before the process ends."""
        for name, state in list(self._accounts.items()):
            row = self._table.read(rows.limit(name))
            if isinstance(row, table_errors.TableError):
                continue
            now_ms = self._clock.now_ms()
            view = limit_rows.view(row, self._membership.lease_until_ms())
            only_self = account_shares.Fleet((self._me.instance_id,), {})
            with self._lock:
                write = state.on_row(view, only_self, now_ms)
                if write is None or write.change.acquired:
                    write = state.release(state.slots, now_ms)
            if write is not None:
                self._write(name, state, write)
        self._announce_release()

    def _announce_release(self) -> None:
        """Makes some peers read the rows now, so that no share stays unused."""
        addresses = self._membership.peer_addresses()
        notified = rendezvous.rank(self._me.instance_id, addresses)[
            :_NOTIFIED_PEERS
        ]
        for name in notified:
            self._bus.begin_call(
                addresses[name], "handed back", None, self._grant_ms
            )

    def _on_peer_release(self, _payload: Any) -> None:
        self._read_due_ms = 0

    def held(self) -> dict[str, int]:
        """Returns the number of shares held of each account's limit."""
        with self._lock:
            return {
                name: len(state.slots) for name, state in self._accounts.items()
            }

    def _size(
        self, account: inventory_lib.Account, slot_count: int
    ) -> shares.Size:
        return shares.size(
            slot_count,
            account.rate_tokens_per_s,
            account.burst_tokens,
            self._grant_ms,
        )

    def _state(self, name: str) -> account_shares.AccountShares:
        if name not in self._accounts:
            self._accounts[name] = account_shares.AccountShares(
                name, self._me, self._grant_ms, self._clock.now_ms()
            )
        return self._accounts[name]

    def _all_have_holders(self) -> bool:
        return self._has_read and all(
            self._is_held(name)
            for name in self._configuration.version.inventory.accounts
        )

    def _is_held(self, name: str) -> bool:
        """Returns whether tokens remain if one other holder is lost."""
        state = self._accounts.get(name)
        if state is not None and state.slots:
            return True
        peers = set(self._membership.peer_addresses())
        return len(peers.intersection(self._holders(name))) > 1

    def _read_interval_ms(self) -> int:
        instance_count = len(self._membership.live())
        return max(
            _MIN_READ_INTERVAL_MS, instance_count * _READ_PER_INSTANCE_MS
        )

    def _renew(self, lease_until_ms: int, now_ms: int) -> None:
        with self._lock:
            for state in self._accounts.values():
                state.renew(lease_until_ms, now_ms)

    def _update_account(
        self,
        account: inventory_lib.Account,
        row: table_lib.Row,
        lease_until_ms: int,
    ) -> None:
        """Updates an account from its row and writes the resulting change."""
        now_ms = self._clock.now_ms()
        with self._lock:
            state = self._state(account.name)
            state.configure(
                account.rate_tokens_per_s, account.burst_tokens, now_ms
            )
            write = state.on_row(
                limit_rows.view(row, lease_until_ms), self._fleet, now_ms
            )
        if write is not None:
            self._write(account.name, state, write)

    def _write(
        self,
        name: str,
        state: account_shares.AccountShares,
        write: account_shares.Write,
    ) -> None:
        outcome = limit_rows.write(self._table, name, write)
        with self._lock:
            state.on_written(write, outcome, self._clock.now_ms())
        if outcome is account_shares.WriteOutcome.COMMITTED:
            logger.info("%s: holds %d limit shares", name, len(state.slots))
        else:
            self._read_due_ms = 0

    def _holders(self, name: str) -> list[str]:
        """Returns the known holders of shares; empty if none is known."""
        state = self._accounts.get(name)
        return state.holders() if state else []

    def _handle_grant(self, payload: Any) -> list[Any]:
        name, missing = payload
        now_ms = self._clock.now_ms()
        with self._lock:
            state = self._state(name)
            reservation = state.reserve_up_to(missing, now_ms)
            left = state.available(now_ms)
        return [self._me.incarnation, left, *reservation]

    def _handle_settle(self, payload: Any) -> None:
        name, incarnation, sequence, micro_tokens, used = payload
        if incarnation != self._me.incarnation:
            return
        now_ms = self._clock.now_ms()
        reservation = bucket_lib.Reservation(sequence, micro_tokens)
        with self._lock:
            self._state(name).settle(reservation, used, now_ms)


def _retry_ms(account: inventory_lib.Account, cost_micro: int) -> int:
    rate_milli_per_s = max(1, account.rate_tokens_per_s * 1_000)
    return max(_MIN_RETRY_MS, cost_micro // rate_milli_per_s // 2)
