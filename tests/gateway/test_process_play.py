"""Real gateway processes under faults: what was refused, run and served.

By hand, longer and with another seed: set ``PLAY_SECONDS`` and ``PLAY_SEED``.
"""

import asyncio
import os

from tests.support import gateway_processes

_SECONDS = float(os.environ.get("PLAY_SECONDS", "10"))
_SEED = int(os.environ.get("PLAY_SEED", "1"))


def test_what_is_refused_has_not_run_and_everyone_is_served(tmp_path):
    # Guards against a refusal with a promise for a request that runs, a second
    # run, and callers that are never served.
    play = gateway_processes.ProcessPlay(
        tmp_path, instances=3, targets=5, seed=_SEED
    )
    asyncio.run(play.play(callers=24, for_s=_SECONDS))
    print(f"{len(play.runs)} requests have run, {play.served} of {play.asked}")
    assert play.runs
    assert not play.refused_and_run()
    assert not play.run_twice()
    assert not play.starved()
