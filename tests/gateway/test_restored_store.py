"""A store that comes back from an older copy, and what the fleet does then."""

import asyncio

from tanagerloft.util import loops
from tests.support import gateway_fleet
from tests.support import gateway_targets
from tests.support import virtual_loop

# Time after a restore within which an instance must lead again: the bound on a
# takeover after the loss of a holder.
_TAKEOVER_MS = 12_000


def test_an_instance_leads_again_after_a_restore():
    targets = [gateway_targets.Target(f"t{n}") for n in range(8)]
    fleet = gateway_fleet.GatewayFleet(5, targets, seed=1)
    holders: list[str | None] = []

    async def play():
        await fleet.start()
        heartbeats = asyncio.create_task(fleet.send_heartbeats())
        await loops.sleep(11_000)
        holders.append(fleet.holder())
        await fleet.restore(5_000)
        await loops.sleep(_TAKEOVER_MS)
        holders.append(fleet.holder())
        heartbeats.cancel()
        await fleet.close()

    virtual_loop.run(play())
    assert None not in holders
