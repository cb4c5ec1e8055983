"""The store comes back from an older copy, see claim.txt."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

from standins import cases
from standins import deployment as deployment_lib
from standins import gateways
from standins import record as record_lib
from standins import servers
from standins import store as store_lib

_INSTANCES = 3
_QUIET_S = 6.0
# The holder of the lease is killed and comes back after this time.
_DOWN_S = 3.5
# The store is away for a moment, and comes back from a copy some seconds old.
_AWAY_S = 0.5
_COPY_INTERVAL_S = 0.1
_MAX_COPY_AGE_S = 6.0
_SETTLE_S = 2.0
_LASTS_S = 8.0


class _Copies:
    """Copies of the store that are made at intervals."""

    def __init__(self, store: store_lib.Store):
        self._store = store
        self._copies: list[store_lib.Copy] = []

    async def run(self) -> None:
        """Makes copies."""
        while True:
            self._copies.append(self._store.copy())
            await asyncio.sleep(_COPY_INTERVAL_S)

    def before(self, row: store_lib.Row) -> store_lib.Copy:
        """Returns the last copy in which the lease row is an earlier one."""
        return next(
            copy
            for copy in reversed(self._copies)
            if copy.rows[store_lib.LEASE][0] < row[0]
        )


async def _holder(
    deployment: deployment_lib.Deployment, other_than: str = ""
) -> gateways.Gateway:
    """Waits for an order of another holder; returns the holder."""
    async with asyncio.timeout(15):
        while True:
            for engine in deployment.engines:
                if engine.orders and engine.orders[-1].holder != other_than:
                    name = engine.orders[-1].holder
                    return next(
                        item for item in deployment.fleet if item.name == name
                    )
            await asyncio.sleep(0.05)


async def _drill(
    store: store_lib.Store, copies: _Copies, claim: store_lib.Row, log
) -> None:
    copy = copies.before(claim)
    store.away = True
    await asyncio.sleep(_AWAY_S)
    age_s = time.monotonic() - copy.at_s
    if age_s > _MAX_COPY_AGE_S:
        raise TimeoutError("the holder gave its first order too late")
    store.restore(copy)
    log(f"the store is back from a copy that is {age_s:.2f} s old")


def _judge(record: record_lib.Record, engines: list[servers.Engine]) -> int:
    code = 0
    for engine in engines:
        seen: dict[int, str] = {}
        broken = False
        for order in engine.orders:
            holder = seen.setdefault(order.token, order.holder)
            if holder != order.holder or order.token < max(seen):
                broken = True
                record.line(
                    f"ONE broken at {engine.server_id}:"
                    f" {record.at(order.at_s):.3f} s {order.what} from"
                    f" {order.holder} token {order.token}; tokens before:"
                    f" {seen}"
                )
                break
        if not engine.orders:
            return 2
        code |= broken
    return code


async def _run(record: record_lib.Record, folder: pathlib.Path) -> int:
    deployment = deployment_lib.Deployment(folder, _INSTANCES, record.line)
    copies = _Copies(deployment.store)
    claims: list[store_lib.Row] = []
    deployment.store.on_claim = claims.append
    try:
        await deployment.start()
        deployment.run(copies.run())
        deployment.run_clients()
        await asyncio.sleep(_QUIET_S)
        first = await _holder(deployment)
        record.line(f"{first.name} is killed")
        await first.kill()
        deployment.run(_start_later(first, record))
        second = await _holder(deployment, other_than=first.name)
        record.line(f"{second.name} gives orders")
        if cases.TROUBLE:
            await _drill(deployment.store, copies, claims[-1], record.line)
        await asyncio.sleep(_SETTLE_S)
        record.line(f"{first.name} gets SIGTERM and is started again")
        await first.restart()
        record.line(f"{first.name} is ready")
        await asyncio.sleep(_LASTS_S)
    finally:
        await deployment.stop()
    return _judge(record, deployment.engines)


async def _start_later(
    gateway: gateways.Gateway, record: record_lib.Record
) -> None:
    await asyncio.sleep(_DOWN_S)
    await gateway.start()
    record.line(f"{gateway.name} is ready again")


if __name__ == "__main__":
    sys.exit(cases.run(__file__, _run))
