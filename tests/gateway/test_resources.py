"""Limits of memory and file descriptors, and silent connections."""

import asyncio
import contextlib
import pathlib
import resource
import signal
import sys

from tests.support import users_platform as platform_lib

_IDLE_CALLERS = 3_000
# Smallest memory limit of the users' instances.
_MAX_MEMORY_MB = 200
_MAX_DESCRIPTORS = 4_100
_HOST = "127.0.0.1"


def _resident_mb(pid: int) -> float:
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1]) / 1_024


def _limit_descriptors() -> None:
    resource.setrlimit(
        resource.RLIMIT_NOFILE, (_MAX_DESCRIPTORS, _MAX_DESCRIPTORS)
    )


@contextlib.asynccontextmanager
async def _instance_process(platform, directory):
    """Runs an instance in a separate process, beside the platform's own."""
    ports = {name: platform_lib.free_port() for name in platform.ports}
    lines = ["[instance]", "id = i-2", "data_centre = dc", "[listen]"]
    lines += [f"{name} = {_HOST}:{port}" for name, port in ports.items()]
    lines += ["[store]", f"address = {_HOST}:{platform.store_port}"]
    file = directory / "instance.ini"
    file.write_text("\n".join(lines))
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "tanagerloft", "gateway", str(file)),
        stdout=asyncio.subprocess.DEVNULL,
        preexec_fn=_limit_descriptors,
    )
    try:
        yield process, ports
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def _is_ready(ports) -> bool:
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        reader, writer = await asyncio.open_connection(_HOST, ports["ready"])
        writer.write(
            b"GET /tanagerloft/ready HTTP/1.1\r\nHost: x\r\n"
            b"Connection: close\r\n\r\n"
        )
        head = await reader.readline()
        writer.close()
        return b" 200 " in head
    return False


def test_thousands_of_idle_callers_fit_in_memory(tmp_path):
    async def test(platform):
        target = await platform.add_target(platform_lib.respond_ok)
        async with _instance_process(platform, tmp_path) as (process, ports):
            await platform.eventually(lambda: _is_ready(ports))
            callers = []
            for _ in range(_IDLE_CALLERS):
                callers.append(
                    await asyncio.open_connection(_HOST, ports["callers"])
                )
            reader, writer = await asyncio.open_connection(
                _HOST, ports["callers"]
            )
            writer.write(platform_lib.request_bytes("GET", "/safe/x"))
            assert b" 200 " in await reader.readline()
            assert len(target.requests) == 1
            assert process.returncode is None
            assert _resident_mb(process.pid) < _MAX_MEMORY_MB
            for _, idle in (*callers, (reader, writer)):
                idle.close()
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    platform_lib.run(test)


def test_a_caller_that_does_not_read_pauses_the_target():
    async def test(platform):
        written = []

        async def endless(request, writer):
            writer.write(platform_lib.stream_head(request))
            filler = b"x" * 65_536
            for number in range(1, 2_000):
                event = b"id: %d\ndata: %b\n\n" % (number, filler)
                writer.write(platform_lib.chunk(event))
                await writer.drain()
                written.append(len(event))

        await platform.add_target(endless, "engines")
        _, writer = await platform.connect()
        writer.write(
            platform_lib.request_bytes("POST", "/stream/x", Model="m1")
        )
        steady = 0
        # Without progress for a while, the target is held by backpressure.
        for _ in range(2_000):
            before = len(written)
            await asyncio.sleep(0.01)
            steady = steady + 1 if written and len(written) == before else 0
            if steady >= 50:
                break
        # Socket buffers hold some megabytes, the instance next to nothing.
        assert sum(written) < 32 * 1_024 * 1_024
        writer.close()

    platform_lib.run(test)


def test_a_silent_store_connection_is_replaced():
    async def test(platform):
        await platform.add_target(platform_lib.respond_ok)
        platform.store.mute()
        platform.store.put(
            "op", "config", platform_lib.configuration(version=2)
        )

        async def in_force() -> bool:
            reply = await platform.call("GET", "/metrics", port="metrics")
            return b"tanagerloft_configuration_version 2.0" in reply

        await platform.eventually(in_force)

    platform_lib.run(test)
