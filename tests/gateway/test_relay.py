"""The request path against stand-ins, checked byte by byte."""

import asyncio
import contextlib

import pytest

from tests.support import users_platform as platform_lib

_STREAM_REQUEST = platform_lib.request_bytes("POST", "/stream/x", Model="m1")
_SEALED = b"Response-Seal: seal-1"


async def _reset(_request, writer):
    platform_lib.reset(writer)


async def _until_one_waits(platform) -> None:
    async def is_waiting() -> bool:
        return platform.instance.wait_queue.count() == 1

    await platform.eventually(is_waiting)


_UNNAMED_REFUSAL = (
    b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)


def test_a_response_is_forwarded_unchanged():
    async def test(platform):
        target = await platform.add_target(platform_lib.respond_ok)
        data = await platform.call("POST", "/once/x?q=1", body=b"pay")
        assert platform_lib.status(data) == 200
        assert _SEALED.lower() in data.lower()
        assert data.endswith(b"\r\n\r\nok")
        request = target.requests[0]
        assert (request.method, request.target) == ("POST", "/once/x?q=1")
        assert request.body == b"pay"
        assert request.headers["attempt-id"] == "a-1"
        assert request.headers["tenant"] == "acc"
        assert request.headers["expect-instance"] == "t1"
        assert "authorization" not in request.headers

    platform_lib.run(test)


def test_headers_that_only_the_instance_may_set_are_dropped():
    async def test(platform):
        target = await platform.add_target(platform_lib.respond_ok)
        await platform.call(
            "GET",
            "/safe/x",
            Tenant="other",
            Hold="h",
            Pin_Ms="9",
            Kv_Backup="1.2.3.4:5",
            Expect_Instance="t9",
            X_Kept="yes",
        )
        headers = target.requests[0].headers
        assert headers["tenant"] == "acc"
        assert headers["expect-instance"] == "t1"
        assert headers["x-kept"] == "yes"
        assert not {"hold", "pin-ms", "kv-backup"} & set(headers)

    platform_lib.run(test)


def test_the_remaining_time_is_sent_to_the_target():
    async def test(platform):
        target = await platform.add_target(platform_lib.respond_ok)
        await platform.call("GET", "/safe/x", Deadline_Ms="2000")
        assert 0 < int(target.requests[0].headers["deadline-ms"]) <= 2_000

    platform_lib.run(test)


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/none/x", {}, 404),
        ("/safe/x", {"Authorization": "Bearer wrong"}, 401),
        ("/safe/x", {"Authorization": None}, 401),
        ("/safe/x", {"Attempt_Id": None}, 400),
        ("/safe/x", {"Host": None}, 400),
        ("/safe/x", {"Deadline_Ms": "soon"}, 400),
        ("/safe/x", {"Token_Counts": "1"}, 400),
        ("/free/x", {"Authorization": None}, 200),
    ],
)
def test_refusals_before_a_target_is_chosen(path, headers, status):
    async def test(platform):
        target = await platform.add_target(platform_lib.respond_ok)
        data = await platform.call("GET", path, **headers)
        assert platform_lib.status(data) == status
        assert len(target.requests) == (status == 200)

    platform_lib.run(test)


@pytest.mark.parametrize(
    "smuggled",
    [
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 3\r\nContent-Length: 4\r\n",
        b"Content-Length: +3\r\n",
        b"Transfer-Encoding: chunked, identity\r\n",
        b"X: a\nY: b\r\n",
        b"Host: other.example\r\n",
    ],
)
def test_an_ambiguously_framed_request_is_refused(smuggled):
    async def test(platform):
        target = await platform.add_target(platform_lib.respond_ok)
        reader, writer = await platform.connect()
        request = platform_lib.request_bytes("POST", "/safe/x")
        head = request.removesuffix(b"\r\n") + smuggled
        inner = platform_lib.request_bytes("GET", "/free/x", Attempt_Id="in")
        writer.write(head + b"\r\nabc" + inner)
        data = await reader.read(-1)
        assert platform_lib.status(data) == 400
        assert not target.requests

    platform_lib.run(test)


def test_a_chunked_request_body_is_forwarded_complete():
    async def test(platform):
        target = await platform.add_target(platform_lib.respond_ok)
        reader, writer = await platform.connect()
        head = platform_lib.request_bytes(
            "POST", "/once/x", Transfer_Encoding="chunked"
        )
        writer.write(head + b"3\r\nabc\r\n")
        await writer.drain()
        writer.write(b"2\r\nde\r\n0\r\n\r\n")
        assert platform_lib.status(await reader.read(-1)) == 200
        assert target.requests[0].body == b"abcde"

    platform_lib.run(test)


def test_pipelined_requests_are_answered_in_order():
    async def test(platform):
        async def echo(request, writer):
            body = request.headers["attempt-id"].encode()
            writer.write(platform_lib.response(request, body))

        await platform.add_target(echo)
        reader, writer = await platform.connect()
        for name in ("one", "two", "three"):
            writer.write(
                platform_lib.request_bytes(
                    "GET", "/safe/x", close=name == "three", Attempt_Id=name
                )
            )
        data = await reader.read(-1)
        positions = [data.index(b"\r\n\r\n" + n) for n in (b"one", b"two")]
        assert positions == sorted(positions)
        assert data.endswith(b"three")

    platform_lib.run(test)


def test_a_non_idempotent_request_is_not_retried_after_a_lost_response():
    async def test(platform):
        first = await platform.add_target(_reset)
        second = await platform.add_target(_reset, target_id="t2")
        data = await platform.call("POST", "/once/x", body=b"pay")
        assert platform_lib.status(data) == 502
        assert len(first.requests) + len(second.requests) == 1

    platform_lib.run(test)


def test_an_idempotent_request_is_retried_elsewhere_after_a_lost_response():
    async def test(platform):
        first = await platform.add_target(_reset)
        second = await platform.add_target(
            platform_lib.respond_ok, target_id="t2"
        )
        for _ in range(2):
            assert (
                platform_lib.status(await platform.call("GET", "/safe/x"))
                == 200
            )
        assert first.requests
        assert len(second.requests) == 2

    platform_lib.run(test)


def test_a_request_that_was_not_run_is_retried_elsewhere():
    async def test(platform):
        async def busy(request, writer):
            writer.write(
                platform_lib.response(request, status=503, Not_Executed="1")
            )

        await platform.add_target(busy)
        second = await platform.add_target(
            platform_lib.respond_ok, target_id="t2"
        )
        for _ in range(2):
            assert (
                platform_lib.status(await platform.call("POST", "/once/x"))
                == 200
            )
        assert len(second.requests) == 2

    platform_lib.run(test)


def test_a_response_to_another_request_is_skipped():
    async def test(platform):
        async def crossed(request, writer):
            other = request._replace(headers={"attempt-id": "other"})
            writer.write(platform_lib.response(other, b"not yours"))
            writer.write(platform_lib.response(request, b"yours"))

        await platform.add_target(crossed)
        data = await platform.call("GET", "/safe/x")
        assert data.endswith(b"\r\n\r\nyours")

    platform_lib.run(test)


def test_a_late_refusal_that_names_no_request_is_no_proof():
    # Guards against a request that is refused, or sent again, while it runs: an
    # extra response arrived after the next request had been sent.
    async def test(platform):
        async def extra(request, writer):
            if len(target.requests) == 1:
                await platform_lib.respond_ok(request, writer)
                return
            writer.write(_UNNAMED_REFUSAL)
            await asyncio.sleep(0.02)
            writer.write(platform_lib.response(request, b"ran"))

        target = await platform.add_target(extra)
        await platform.call("POST", "/once/x")
        data = await platform.call("POST", "/once/x")
        assert data.endswith(b"\r\n\r\nran")
        assert len(target.requests) == 2

    platform_lib.run(test)


def test_a_refusal_that_names_no_request_counts_on_a_new_connection():
    # Another server at the address of one that is gone names no request.
    async def test(platform):
        async def refuse(_request, writer):
            writer.write(_UNNAMED_REFUSAL)

        await platform.add_target(refuse)
        await platform.add_target(platform_lib.respond_ok, target_id="t2")
        for _ in range(2):
            reply = await platform.call("POST", "/once/x", Attempt_Id="r")
            assert platform_lib.status(reply) == 200

    platform_lib.run(test)


def test_a_request_goes_to_the_same_target_again_on_a_new_connection():
    # Guards against a late second copy of a refusal, which names the request.
    async def test(platform):
        async def refuse_once(request, writer):
            if request.headers["attempt-id"] == "r":
                writers.append(writer)
                if len(writers) == 1:
                    writer.write(
                        platform_lib.response(
                            request, status=503, Not_Executed="1"
                        )
                    )
                    return
            await platform_lib.respond_ok(request, writer)

        writers: list[asyncio.StreamWriter] = []
        await platform.add_target(refuse_once)
        repeated = asyncio.create_task(
            platform.call("GET", "/safe/x", Attempt_Id="r")
        )
        # Others keep its first connection in use.
        while not repeated.done():
            await platform.call("GET", "/safe/y", Attempt_Id="other")
        assert platform_lib.status(await repeated) == 200
        assert len(writers) == 2
        assert writers[0] is not writers[1]

    platform_lib.run(test)


def test_bytes_after_a_response_belong_to_no_request():
    async def test(platform):
        async def twice(request, writer):
            writer.write(platform_lib.response(request, b"first"))
            writer.write(platform_lib.response(request, b"extra"))

        await platform.add_target(twice)
        for name in ("one", "two"):
            data = await platform.call("GET", "/safe/x", Attempt_Id=name)
            assert data.endswith(b"\r\n\r\nfirst")

    platform_lib.run(test)


def test_a_response_without_a_seal_is_not_forwarded():
    async def test(platform):
        async def unsealed(request, writer):
            data = platform_lib.response(request, b"forged")
            writer.write(data.replace(b"Response-Seal", b"X-Seal"))

        await platform.add_target(unsealed)
        data = await platform.call("POST", "/once/x")
        assert platform_lib.status(data) == 502
        assert b"forged" not in data

    platform_lib.run(test)


@pytest.mark.parametrize("clean", [True, False])
def test_a_response_without_a_length_is_complete_unless_reset(clean):
    async def test(platform):
        async def unframed(request, writer):
            data = platform_lib.response(request, b"body")
            writer.write(data.replace(b"Content-Length: 4\r\n", b""))
            await writer.drain()
            if clean:
                writer.close()
            else:
                platform_lib.reset(writer)

        await platform.add_target(unframed)
        data = await platform.call("POST", "/once/x")
        assert platform_lib.status(data) == (200 if clean else 502)

    platform_lib.run(test)


def test_a_truncated_response_is_not_forwarded():
    async def test(platform):
        async def truncated(request, writer):
            writer.write(platform_lib.response(request, b"whole body")[:-3])
            await writer.drain()
            writer.close()

        await platform.add_target(truncated)
        assert (
            platform_lib.status(await platform.call("POST", "/once/x")) == 502
        )

    platform_lib.run(test)


async def _stream(request, writer):
    writer.write(platform_lib.stream_head(request))
    for number in range(1, 4):
        writer.write(platform_lib.chunk(platform_lib.event(number)))
        await writer.drain()
    writer.write(platform_lib.chunk(b""))


def _events(data: bytes) -> list[int]:
    lines = data.split(b"\n")
    return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


def _is_complete(data: bytes) -> bool:
    return data.endswith(b"\r\n0\r\n\r\n")


def test_a_stream_is_relayed_event_by_event():
    async def test(platform):
        gate = asyncio.Event()

        async def slow(request, writer):
            writer.write(platform_lib.stream_head(request))
            writer.write(platform_lib.chunk(platform_lib.event(1)))
            await gate.wait()
            writer.write(platform_lib.chunk(platform_lib.event(2)))
            writer.write(platform_lib.chunk(b""))

        await platform.add_target(slow, "engines")
        reader, writer = await platform.connect()
        writer.write(
            platform_lib.request_bytes("POST", "/stream/x", Model="m1")
        )
        await reader.readuntil(b"data: t1\n\n")
        gate.set()
        assert (await reader.read(-1)).endswith(b"0\r\n\r\n")

    platform_lib.run(test)


async def _break_after_two(request, writer):
    writer.write(platform_lib.stream_head(request))
    for number in (1, 2):
        writer.write(platform_lib.chunk(platform_lib.event(number)))
    writer.write(b"20\r\nid: 3\ndat")
    await writer.drain()
    platform_lib.reset(writer)


def test_a_broken_stream_is_visibly_truncated():
    async def test(platform):
        await platform.add_target(_break_after_two, "engines")
        reader, writer = await platform.connect()
        writer.write(
            platform_lib.request_bytes("POST", "/stream/x", Model="m1")
        )
        data = b""
        with contextlib.suppress(ConnectionError):
            while piece := await reader.read(1_000):
                data += piece
        assert not _is_complete(data)
        assert _events(data) == [1, 2]

    platform_lib.run(test)


def test_a_resumable_stream_is_resumed_at_another_target():
    async def test(platform):
        async def resume(request, writer):
            last = int(request.headers["last-event-id"])
            writer.write(platform_lib.stream_head(request))
            for number in range(last + 1, 5):
                writer.write(platform_lib.chunk(platform_lib.event(number)))
            writer.write(platform_lib.chunk(b""))

        first = await platform.add_target(_break_after_two, "engines", "t1")
        second = await platform.add_target(resume, "engines", "t2")
        data = await platform.call("POST", "/resume/x", Model="m1")
        assert _is_complete(data)
        assert _events(data) == [1, 2, 3, 4]
        assert len(first.requests) == len(second.requests) == 1

    platform_lib.run(test)


def _end_inside_event(chunked: bool):
    async def script(request, writer):
        data = platform_lib.event(1) + platform_lib.event(2)[:-3]
        head = platform_lib.stream_head(request)
        if chunked:
            data = platform_lib.chunk(data) + platform_lib.chunk(b"")
        else:
            head = head.replace(b"Transfer-Encoding: chunked\r\n", b"")
        writer.write(head + data)
        await writer.drain()
        writer.close()

    return script


@pytest.mark.parametrize("chunked", [False, True])
def test_a_stream_that_ends_inside_an_event_is_visibly_truncated(chunked):
    async def test(platform):
        await platform.add_target(_end_inside_event(chunked), "engines")
        reader, writer = await platform.connect()
        writer.write(
            platform_lib.request_bytes("POST", "/stream/x", Model="m1")
        )
        data = b""
        with contextlib.suppress(ConnectionError):
            while piece := await reader.read(1_000):
                data += piece
        assert _events(data) == [1]
        assert not _is_complete(data)

    platform_lib.run(test)


@pytest.mark.parametrize("chunked", [False, True])
def test_a_stream_that_ends_inside_an_event_is_resumed(chunked):
    async def test(platform):
        async def resume(request, writer):
            assert request.headers["last-event-id"] == "1"
            writer.write(platform_lib.stream_head(request))
            for number in (2, 3):
                writer.write(platform_lib.chunk(platform_lib.event(number)))
            writer.write(platform_lib.chunk(b""))

        await platform.add_target(_end_inside_event(chunked), "engines", "t1")
        await platform.add_target(resume, "engines", "t2")
        data = await platform.call("POST", "/resume/x", Model="m1")
        assert _is_complete(data)
        assert _events(data) == [1, 2, 3]

    platform_lib.run(test)


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
def test_a_stream_without_a_length_ends_with_its_connection(line_end):
    async def test(platform):
        async def unframed(request, writer):
            head = platform_lib.stream_head(request)
            writer.write(head.replace(b"Transfer-Encoding: chunked\r\n", b""))
            data = platform_lib.event(1) + platform_lib.event(2)
            writer.write(data.replace(b"\n", line_end))
            await writer.drain()
            writer.close()

        await platform.add_target(unframed, "engines")
        data = await platform.call("POST", "/stream/x", Model="m1")
        assert _is_complete(data)
        assert _events(data.replace(b"\r\n", b"\n")) == [1, 2]

    platform_lib.run(test)


def test_a_started_stream_gets_no_second_head():
    # The only target breaks its stream and the model cannot be ready in time:
    # the caller must see a truncated response, not a refusal inside it.
    async def test(platform):
        async def break_for_good(request, writer):
            writer.write(platform_lib.stream_head(request))
            writer.write(platform_lib.chunk(platform_lib.event(1)))
            await writer.drain()
            platform.store.remove("servers", "t1")
            await platform.eventually(is_removed)
            platform_lib.reset(writer)

        async def is_removed() -> bool:
            return "t1" not in platform.instance.directory.entries

        await platform.add_target(break_for_good, "engines", "t1")
        reader, writer = await platform.connect()
        gateway = platform.instance.gateway
        gateway._deps = gateway._deps._replace(
            model_ready_in_ms=lambda _: 10**6
        )
        writer.write(
            platform_lib.request_bytes("POST", "/resume/x", Model="m1")
        )
        data = b""
        with contextlib.suppress(ConnectionResetError):
            while piece := await reader.read(65_536):
                data += piece
        assert data.count(b"HTTP/1.1") == 1
        assert not _is_complete(data)

    platform_lib.run(test)


def test_a_caller_disconnect_cancels_the_request_at_the_target():
    async def test(platform):
        async def endless(request, writer):
            writer.write(platform_lib.stream_head(request))
            writer.write(platform_lib.chunk(platform_lib.event(1)))
            await asyncio.Event().wait()

        target = await platform.add_target(endless, "engines")
        reader, writer = await platform.connect()
        writer.write(
            platform_lib.request_bytes("POST", "/stream/x", Model="m1")
        )
        await reader.readuntil(b"data: t1\n\n")
        writer.close()
        async with asyncio.timeout(10):
            await target.closed.wait()

    platform_lib.run(test)


def test_a_caller_disconnect_removes_a_waiting_request():
    async def test(platform):
        _, writer = await platform.connect()
        writer.write(
            platform_lib.request_bytes("POST", "/stream/x", Model="m1")
        )
        queue = platform.instance.wait_queue

        async def empty() -> bool:
            return queue.count() == 0

        await _until_one_waits(platform)
        writer.close()
        await platform.eventually(empty)
        target = await platform.add_target(_stream, "engines")
        await asyncio.sleep(0)
        assert not target.requests

    platform_lib.run(test)


def test_a_leaving_target_gets_no_requests():
    async def test(platform):
        leaving = await platform.add_target(
            platform_lib.respond_ok, state="draining"
        )
        staying = await platform.add_target(
            platform_lib.respond_ok, target_id="t2"
        )
        for _ in range(4):
            assert (
                platform_lib.status(await platform.call("GET", "/safe/x"))
                == 200
            )
        assert not leaving.requests
        assert len(staying.requests) == 4

    platform_lib.run(test)


def test_malformed_entries_are_refused_one_by_one():
    async def test(platform):
        store = platform.store
        store.put_bytes("servers", "bad-1", b"\xff\x00")
        store.put("servers", "bad-2", {"service": 7})
        store.put("servers", "bad-3", {"service": "plain", "address": "x"})
        store.put("op", "config", {"version": "?"})
        await platform.add_target(platform_lib.respond_ok)
        assert platform_lib.status(await platform.call("GET", "/safe/x")) == 200
        assert set(platform.instance.directory.entries) == {"t1"}

    platform_lib.run(test)


def test_a_withdrawn_key_stops_working():
    async def test(platform):
        await platform.add_target(platform_lib.respond_ok)
        assert platform_lib.status(await platform.call("GET", "/safe/x")) == 200
        config = platform_lib.configuration(version=2, tenants=[])
        platform.store.put("op", "config", config)

        async def refused() -> bool:
            return (
                platform_lib.status(await platform.call("GET", "/safe/x"))
                == 401
            )

        await platform.eventually(refused)
        older = platform_lib.configuration(version=1)
        platform.store.put("op", "config", older)
        await platform.add_target(platform_lib.respond_ok, target_id="t2")
        assert await refused()

    platform_lib.run(test)


def test_a_body_beyond_the_limit_is_refused():
    async def test(platform):
        target = await platform.add_target(platform_lib.respond_ok)
        data = await platform.call("POST", "/once/x", body=b"x" * 2_000)
        assert platform_lib.status(data) == 413
        assert not target.requests

    platform_lib.run(test, limits={"body_bytes": 1_000})


def test_headers_beyond_the_limit_are_refused():
    async def test(platform):
        target = await platform.add_target(platform_lib.respond_ok)
        data = await platform.call("GET", "/safe/x", X_Long="x" * 2_000)
        assert platform_lib.status(data) == 431
        assert not target.requests

    platform_lib.run(test, limits={"header_bytes": 1_000})


def test_a_token_limit_is_enforced():
    account = {
        "name": "acc",
        "api_keys": [platform_lib.KEY],
        "rate_per_s": 1,
        "burst": 100,
        "default_cost_tokens": 10,
    }

    async def test(platform):
        await platform.add_target(platform_lib.respond_ok)
        statuses = []
        for _ in range(3):
            data = await platform.call("GET", "/safe/x", Token_Counts="40,0")
            statuses.append(platform_lib.status(data))
        assert statuses == [200, 200, 429]
        assert b"Retry-After: " in data

    platform_lib.run(test, tenants=[account])


def test_a_graceful_stop_refuses_requests_not_sent_yet():
    # Requests that still waited for a model at the end of a graceful stop got
    # no response at all.
    async def test(platform):
        reader, writer = await platform.connect()
        writer.write(_STREAM_REQUEST)

        await _until_one_waits(platform)
        platform.instance.gateway.refuse_unsent()
        data = await reader.read(-1)
        assert platform_lib.status(data) == 503
        assert b"Retry-After: " in data
        writer.close()

    platform_lib.run(test)


def test_the_end_of_a_graceful_stop_answers_open_requests():
    async def test(platform):
        async def never(_request, _writer):
            await asyncio.Event().wait()

        target = await platform.add_target(never)
        reader, writer = await platform.connect()
        writer.write(platform_lib.request_bytes("POST", "/once/x"))

        async def sent() -> bool:
            return bool(target.requests)

        await platform.eventually(sent)
        platform.instance.gateway.end_all()
        assert platform_lib.status(await reader.read(-1)) == 504
        writer.close()

    platform_lib.run(test)


def test_new_requests_are_refused_late_in_a_graceful_stop():
    # A stream that began seven seconds after SIGTERM was cut.
    async def test(platform):
        target = await platform.add_target(_stream, "engines")
        gateway = platform.instance.gateway
        gateway.stop(gateway.now_ms() + 60_000)
        data = await platform.call("POST", "/stream/x", Model="m1")
        assert platform_lib.status(data) == 200
        # For a graceful stop of any length: nearly five seconds remain.
        gateway.stop(gateway.now_ms() + 4_990)
        data = await platform.call("POST", "/stream/x", Model="m1")
        assert platform_lib.status(data) == 503
        assert b"Connection: close" in data
        assert len(target.requests) == 1

    platform_lib.run(test)


def test_a_request_is_refused_at_once_if_its_model_is_ready_too_late():
    # Requests waited until their callers gave up, because the gateway's lookup
    # was bound to the first, empty table of estimates when models are ready.
    async def test(platform):
        async def refused_load(request, writer):
            writer.write(platform_lib.response(request, status=409))

        engine = await platform.add_target(refused_load, "engines")
        data = await platform.call("POST", "/stream/x", Model="m2")
        assert platform_lib.status(data) == 503
        assert b"Retry-After: " in data
        assert not [r for r in engine.requests if r.target == "/stream/x"]

    config = platform_lib.configuration()
    models = config["services"][1]["engine"]["models"]
    models.append({"name": "m2", "weights_mb": 70_000, "load_s": 60})
    platform_lib.run(test, services=config["services"])


def test_a_waiting_request_is_refused_when_its_key_is_withdrawn():
    async def test(platform):
        reader, writer = await platform.connect()
        writer.write(_STREAM_REQUEST)

        await _until_one_waits(platform)
        config = platform_lib.configuration(version=2, tenants=[])
        platform.store.put("op", "config", config)

        async def refused() -> bool:
            return (
                platform_lib.status(await platform.call("GET", "/safe/x"))
                == 401
            )

        await platform.eventually(refused)
        target = await platform.add_target(_stream, "engines")
        assert platform_lib.status(await reader.read(-1)) == 401
        assert not target.requests
        writer.close()

    platform_lib.run(test)


def test_a_request_that_crashes_targets_is_quarantined():
    # Each target that runs the request crashes; other requests are served.
    async def test(platform):
        async def crash(request, writer):
            if b"bad" in request.body:
                platform.stop_listening(request.headers["expect-instance"])
                platform_lib.reset(writer)
            else:
                writer.write(platform_lib.response(request))

        targets = [
            await platform.add_target(crash, target_id=f"t{n}")
            for n in range(4)
        ]
        codes = []

        async def quarantined() -> bool:
            data = await platform.call("POST", "/once/x", body=b"bad")
            codes.append(platform_lib.status(data))
            return b"crashes_targets" in data

        await platform.eventually(quarantined)
        assert codes[:3] == [502, 502, 502]
        assert codes[-1] == 503
        # One more may be in flight before the third crash is known.
        assert sum(len(target.requests) for target in targets) <= 4
        await platform.add_target(crash, target_id="t9")
        good = await platform.call("POST", "/once/x", body=b"good")
        assert platform_lib.status(good) == 200

    platform_lib.run(test)


def test_a_request_that_is_sometimes_answered_is_not_quarantined():
    async def test(platform):
        calls = []

        async def lose_most(request, writer):
            calls.append(request)
            if len(calls) % 4:
                platform_lib.reset(writer)
            else:
                writer.write(platform_lib.response(request))

        await platform.add_target(lose_most)
        codes = []
        for _ in range(12):
            data = await platform.call("POST", "/once/x", body=b"pay")
            codes.append(platform_lib.status(data))
        assert codes == [502, 502, 502, 200] * 3

    platform_lib.run(test)
