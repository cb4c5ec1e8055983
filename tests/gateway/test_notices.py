"""Targets that leave, back off or send endless responses, byte by byte."""

import asyncio
import resource

import pytest

from tanagerloft.util import clock as clock_lib
from tests.support import users_platform as platform_lib

_PIECE = b"x" * 65_536


def _respond_with(**headers):
    async def script(request, writer):
        writer.write(platform_lib.response(request, **headers))

    return script


async def _back_off(request, writer):
    writer.write(
        platform_lib.response(
            request, status=503, Not_Executed="1", Retry_After="30"
        )
    )


def test_a_target_that_announces_its_leaving_gets_no_more_requests():
    async def test(platform):
        leaves = await platform.add_target(_respond_with(Server_Leaving="1"))
        assert platform_lib.status(await platform.call("GET", "/safe/x")) == 200
        stays = await platform.add_target(
            platform_lib.respond_ok, target_id="t2"
        )
        for _ in range(4):
            assert (
                platform_lib.status(await platform.call("GET", "/safe/x"))
                == 200
            )
        assert len(leaves.requests) == 1
        assert len(stays.requests) == 4

    platform_lib.run(test)


async def _put_entry(platform, target, born) -> None:
    """Writes another entry of the target ``t1``, and waits until it is read."""
    entry = {
        "service": "plain",
        "address": f"127.0.0.1:{target.port}",
        "zone": "dc",
        "state": "ready",
    }
    if born is not None:
        entry["born"] = born
    platform.store.put("servers", "t1", entry)
    table = platform.instance.directory.table
    version = table.known_version

    async def read() -> bool:
        return table.known_version > version

    await platform.eventually(read)


@pytest.mark.parametrize(
    ("started_in_ms", "gets_requests"),
    [(-60_000, False), (0, False), (60_000, True)],
)
@pytest.mark.parametrize("notice", ["leaves", "backs off"])
def test_a_notice_holds_for_an_incarnation_that_the_list_shows_later(
    notice, started_in_ms, gets_requests
):
    async def test(platform):
        script = _respond_with(Server_Leaving="1")
        if notice == "backs off":
            script = _back_off
        target = await platform.add_target(script)
        await platform.call("POST", "/once/x", body=b"pay")
        assert len(target.requests) == 1
        born_ms = clock_lib.Clock().wall_ms() + started_in_ms
        await _put_entry(platform, target, born_ms)
        await platform.call("POST", "/once/x", body=b"pay", Deadline_Ms="300")
        assert len(target.requests) == 1 + gets_requests

    platform_lib.run(test)


@pytest.mark.parametrize("born", [None, 1.5, "1", True])
def test_an_entry_of_another_writer_does_not_hide_that_a_target_leaves(born):
    async def test(platform):
        leaves = await platform.add_target(_respond_with(Server_Leaving="1"))
        assert platform_lib.status(await platform.call("GET", "/safe/x")) == 200
        await _put_entry(platform, leaves, born)
        await platform.call("POST", "/once/x", body=b"pay", Deadline_Ms="300")
        assert len(leaves.requests) == 1

    platform_lib.run(test)


def test_other_values_of_the_leaving_header_are_ignored():
    async def test(platform):
        target = await platform.add_target(_respond_with(Server_Leaving="0"))
        for _ in range(2):
            assert (
                platform_lib.status(await platform.call("GET", "/safe/x"))
                == 200
            )
        assert len(target.requests) == 2

    platform_lib.run(test)


def test_a_request_refused_by_a_target_that_backs_off_goes_to_another():
    async def test(platform):
        busy = await platform.add_target(_back_off)
        free = await platform.add_target(
            platform_lib.respond_ok, target_id="t2"
        )
        for _ in range(6):
            assert (
                platform_lib.status(await platform.call("GET", "/safe/x"))
                == 200
            )
        assert len(busy.requests) <= 1
        assert len(free.requests) == 6

    platform_lib.run(test)


def test_requests_are_refused_at_once_while_all_targets_back_off():
    async def test(platform):
        busy = await platform.add_target(_back_off)
        for _ in range(4):
            data = await platform.call("POST", "/once/x", body=b"pay")
            assert platform_lib.status(data) == 503
            assert b"targets_back_off" in data
            retry_after_s = (
                data.lower().split(b"retry-after: ")[1].split(b"\r\n")[0]
            )
            assert 20 < float(retry_after_s) <= 30
        assert len(busy.requests) == 1

    platform_lib.run(test)


def test_a_short_back_off_is_waited_out():
    async def test(platform):
        received = []

        async def script(request, writer):
            received.append(request)
            if len(received) == 1:
                writer.write(
                    platform_lib.response(
                        request,
                        status=503,
                        Not_Executed="1",
                        Retry_After="0.2",
                    )
                )
            else:
                writer.write(platform_lib.response(request))

        await platform.add_target(script)
        assert platform_lib.status(await platform.call("GET", "/safe/x")) == 200
        assert len(received) == 2

    platform_lib.run(test)


async def _flood(writer) -> None:
    """Writes until the other side closes."""
    try:
        while not writer.is_closing():
            writer.write(_PIECE)
            await writer.drain()
            await asyncio.sleep(0)
    except ConnectionError:
        return


def _endless_head(_request) -> bytes:
    return b"HTTP/1.1 200 OK\r\nX-Long: "


def _endless_interim(_request) -> bytes:
    return b"HTTP/1.1 100 Continue\r\nX-Long: "


def _endless_body(request) -> bytes:
    attempt = request.headers["attempt-id"].encode()
    return (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\n"
        b"Response-Seal: seal-1\r\n\r\n" % attempt
    )


def _endless_body_of_another(_request) -> bytes:
    return b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n\r\n"


def _endless_trailer(request) -> bytes:
    return platform_lib.stream_head(request) + b"0\r\nX-Long: "


def _endless_event(request) -> bytes:
    head = platform_lib.stream_head(request)
    return head + b"ffffffffff\r\nid: 1\ndata: "


@pytest.mark.parametrize(
    "begin",
    [
        _endless_head,
        _endless_interim,
        _endless_body,
        _endless_body_of_another,
        _endless_trailer,
        _endless_event,
    ],
)
@pytest.mark.parametrize("path", ["/once/x", "/stream/x"])
def test_an_endless_response_is_cut_off(begin, path):
    async def test(platform):
        async def script(request, writer):
            writer.write(begin(request))
            await _flood(writer)

        streams = path.startswith("/stream")
        service, headers = "plain", {}
        if streams:
            service, headers = "engines", {"Model": "m1"}
        target = await platform.add_target(script, service=service)
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        data = await platform.call("POST", path, body=b"x", **headers)
        after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        assert platform_lib.status(data) == 502
        assert len(data) < 10_000
        await target.closed.wait()
        assert after_kb - before_kb < 64_000

    platform_lib.run(test)
