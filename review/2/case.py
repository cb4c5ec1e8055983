"""An entry of another writer in the list of servers, see claim.txt."""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys

from standins import cases
from standins import crashes
from standins import deployment as deployment_lib
from standins import record as record_lib
from standins import servers

_INSTANCES = 3
_TROUBLE_AT_S = 5.0
_LASTS_S = 40.0
# A text instead of a number: a time of day.
_REMAINING = "20261205163400123456"


async def _write_entry(
    deployment: deployment_lib.Deployment, record: record_lib.Record
) -> None:
    """Writes an entry with a field of another type, at each heartbeat."""
    sequence = 0
    while True:
        sequence += 1
        entry = {
            "service": "plain",
            "address": "127.0.0.1:9",
            "zone": "z1",
            "version": "1",
            "slots": 6,
            "state": "draining",
            "cold_left_ms": 0,
            "sequence": sequence,
            "born": 1_700_000_000_000,
            "remaining_ms": _REMAINING,
        }
        if cases.TROUBLE:
            record.line(f"entry of another writer: {json.dumps(entry)}")
            deployment.store.put("servers", "w-1", entry)
        await asyncio.sleep(servers.HEARTBEAT_S)


async def _run(record: record_lib.Record, folder: pathlib.Path) -> int:
    deployment = deployment_lib.Deployment(folder, _INSTANCES, record.line)
    try:
        await deployment.start()
        watch = crashes.Watch(deployment, record)
        deployment.run_clients()
        await asyncio.sleep(_TROUBLE_AT_S)
        deployment.run(_write_entry(deployment, record))
        await asyncio.sleep(_LASTS_S)
    finally:
        await deployment.stop()
    return watch.judge()


if __name__ == "__main__":
    sys.exit(cases.run(__file__, _run))
