"""Entries of the target list that another writer has filled wrongly."""

import json

from tanagerloft.util import loops
from tests.support import gateway_fleet
from tests.support import gateway_targets
from tests.support import virtual_loop

# Takes more than the 64 bits of an integer in a message.
_TOO_LARGE = "91520261205173540120"


def test_a_number_too_large_for_messages_does_not_fail_the_holder():
    # Guards against a value that passes the decoder and cannot be encoded for
    # the other instances: the holder ended with an error, or answered nobody.
    targets = [gateway_targets.Target(f"t{n}") for n in range(3)]
    fleet = gateway_fleet.GatewayFleet(3, targets, seed=1)

    async def play():
        await fleet.start()
        entry = {**targets[0].entry(), "remaining_ms": _TOO_LARGE}
        fleet.put("servers", "other", json.dumps(entry).encode())
        await loops.sleep(2_000)
        errors = [*fleet.controller_errors(), *fleet.message_errors]
        await fleet.close()
        return errors

    assert not virtual_loop.run(play())


def test_an_entry_too_large_for_a_message_is_read_from_the_store():
    # Guards against a view that exceeds a datagram and never arrives, so that
    # the instances take the holder for gone.
    targets = [gateway_targets.Target(f"t{n}") for n in range(3)]
    fleet = gateway_fleet.GatewayFleet(3, targets, seed=1)
    models = [{"name": f"{n}-{'m' * 150}"} for n in range(500)]

    async def play():
        await fleet.start()
        entry = {**targets[0].entry(), "models": models}
        fleet.put("servers", "other", json.dumps(entry).encode())
        await loops.sleep(3_000)
        known = fleet.known_targets()
        await fleet.close()
        return known

    known = virtual_loop.run(play())
    assert fleet.largest_datagram_bytes <= 65_507
    assert all("other" in target_ids for target_ids in known.values())
