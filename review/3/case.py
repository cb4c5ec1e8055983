"""A model leaves the configuration while an engine loads it, see claim.txt."""

from __future__ import annotations

import asyncio
import pathlib
import sys

from standins import cases
from standins import crashes
from standins import deployment as deployment_lib
from standins import record as record_lib

_INSTANCES = 3
_MODELS = (deployment_lib.MODEL, "m2", "m3")
_WITHDRAWN = "m2"
_QUIET_S = 5.0
# The change comes while the engine loads the model.
_LOADING_S = 1.0
_LASTS_S = 25.0


async def _loading(deployment: deployment_lib.Deployment) -> None:
    """Waits until an engine has been ordered to load the model."""
    async with asyncio.timeout(10):
        while not any(
            order.what == f"load {_WITHDRAWN}/" and order.status == 202
            for engine in deployment.engines
            for order in engine.orders
        ):
            await asyncio.sleep(0.05)


async def _run(record: record_lib.Record, folder: pathlib.Path) -> int:
    deployment = deployment_lib.Deployment(
        folder, _INSTANCES, record.line, _MODELS
    )
    try:
        await deployment.start()
        watch = crashes.Watch(deployment, record)
        await asyncio.sleep(_QUIET_S)
        deployment.run(deployment.ask(_WITHDRAWN, 10_000))
        await _loading(deployment)
        await asyncio.sleep(_LOADING_S)
        if cases.TROUBLE:
            left = tuple(name for name in _MODELS if name != _WITHDRAWN)
            record.line(f"configuration 2 has the models {left}")
            deployment.store.put(
                "op", "config", deployment_lib.configuration(2, left)
            )
        await asyncio.sleep(_LASTS_S)
    finally:
        await deployment.stop()
    return watch.judge()


if __name__ == "__main__":
    sys.exit(cases.run(__file__, _run))
