"""The end of a graceful stop, while callers still connect."""

import asyncio
import signal

from tests.support import users_platform


def test_no_request_is_accepted_between_the_last_check_and_the_end():
    async def test(platform):
        async def respond_late(request, writer):
            await asyncio.sleep(0.3)
            writer.write(users_platform.response(request))

        await platform.add_target(respond_late)
        calls = []

        async def release() -> None:
            calls.append(asyncio.create_task(platform.call("GET", "/safe/x")))
            await asyncio.sleep(0.1)

        platform.instance.control.lease_manager.release = release
        signal.raise_signal(signal.SIGTERM)
        await platform.running
        assert len(calls) == 1
        assert platform.instance.gateway.open_count == 0
        await asyncio.gather(*calls, return_exceptions=True)

    users_platform.run(test)
