import asyncio
import contextlib
import queue
import socket
import threading

import cheroot.wsgi
import pytest

from savorydale.exceptions import ResultError
from savorydale.web.bridge import LoopBridge
from savorydale.web.disconnects import (
    CONNECTION_KEY,
    ConnectionGateway,
    is_closed_by_peer,
)


@contextlib.contextmanager
def connected():
    ours, theirs = socket.socketpair()
    with ours, theirs:
        yield ours, theirs


@contextlib.contextmanager
def running_loop():
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    try:
        yield loop
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


def test_a_caller_that_waits_or_has_sent_more_has_not_left():
    with connected() as (ours, theirs):
        assert not is_closed_by_peer(ours)
        theirs.sendall(b"GET")
        assert not is_closed_by_peer(ours)
        assert ours.recv(3) == b"GET"


def test_a_caller_that_closes_or_resets_has_left():
    with connected() as (ours, theirs):
        theirs.close()
        assert is_closed_by_peer(ours)
        ours.close()
        assert is_closed_by_peer(ours)


def test_what_is_not_wanted_is_cancelled():
    cancelled = threading.Event()

    async def wait_for_ever():
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            cancelled.set()

    with running_loop() as loop:
        asks = iter([True, True, False])
        bridge = LoopBridge(loop)
        assert bridge.run_while(wait_for_ever(), lambda: next(asks), 5.0) is None
        assert cancelled.is_set()
        with pytest.raises(ResultError):
            bridge.run(wait_for_ever(), 0.05)


def test_a_result_that_a_cancellation_meets_is_not_lost():
    started = threading.Event()

    async def keep_the_result():
        started.set()
        try:
            await asyncio.get_running_loop().create_future()
        except asyncio.CancelledError:
            return "slot"

    with running_loop() as loop:
        bridge = LoopBridge(loop)
        result = bridge.run_while(keep_the_result(), lambda: not started.wait(5), 5.0)
        assert result == "slot"
        assert bridge.run(keep_the_result(), 0.2) == "slot"


def test_an_error_reaches_the_thread():
    async def fail():
        raise ValueError("no")

    with running_loop() as loop, pytest.raises(ValueError, match="no"):
        LoopBridge(loop).run(fail())


def test_an_application_sees_that_its_caller_left():
    seen = queue.Queue()
    release = threading.Event()

    def application(environ, start_response):
        connection = environ[CONNECTION_KEY]
        seen.put(is_closed_by_peer(connection))
        release.wait(5)
        seen.put(is_closed_by_peer(connection))
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    server = cheroot.wsgi.Server(("127.0.0.1", 0), application, numthreads=1)
    server.gateway = ConnectionGateway
    server.prepare()
    thread = threading.Thread(target=server.serve)
    thread.start()
    try:
        with socket.create_connection(server.bind_addr) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            assert seen.get(timeout=5) is False
        release.set()
        assert seen.get(timeout=5) is True
    finally:
        server.stop()
        thread.join()
