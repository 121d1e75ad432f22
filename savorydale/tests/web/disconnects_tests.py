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
def open_connection():
    local, peer = socket.socketpair()
    with local, peer:
        yield local, peer


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


def test_an_idle_connection_or_one_with_unread_bytes_is_open():
    with open_connection() as (local, peer):
        assert not is_closed_by_peer(local)
        peer.sendall(b"GET")
        assert not is_closed_by_peer(local)
        assert local.recv(3) == b"GET"


def test_a_connection_closed_on_either_side_is_closed():
    with open_connection() as (local, peer):
        peer.close()
        assert is_closed_by_peer(local)
        local.close()
        assert is_closed_by_peer(local)


def test_a_coroutine_is_cancelled_when_its_condition_fails_or_it_times_out():
    cancelled = threading.Event()

    async def wait_forever():
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            cancelled.set()

    with running_loop() as loop:
        conditions = iter([True, True, False])
        bridge = LoopBridge(loop)
        assert bridge.run_while(wait_forever(), lambda: next(conditions), 5.0) is None
        assert cancelled.is_set()
        with pytest.raises(ResultError):
            bridge.run(wait_forever(), 0.05)


def test_a_result_returned_during_a_cancellation_is_not_lost():
    started = threading.Event()

    async def return_on_cancellation():
        started.set()
        try:
            await asyncio.get_running_loop().create_future()
        except asyncio.CancelledError:
            return "slot"

    with running_loop() as loop:
        bridge = LoopBridge(loop)
        result = bridge.run_while(
            return_on_cancellation(), lambda: not started.wait(5), 5.0
        )
        assert result == "slot"
        assert bridge.run(return_on_cancellation(), 0.2) == "slot"


def test_an_exception_in_a_coroutine_is_raised_in_the_waiting_thread():
    async def fail():
        raise ValueError("no")

    with running_loop() as loop, pytest.raises(ValueError, match="no"):
        LoopBridge(loop).run(fail())


def test_an_application_detects_that_its_caller_disconnected():
    observations = queue.Queue()
    release = threading.Event()

    def application(environ, start_response):
        connection = environ[CONNECTION_KEY]
        observations.put(is_closed_by_peer(connection))
        release.wait(5)
        observations.put(is_closed_by_peer(connection))
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
            assert observations.get(timeout=5) is False
        release.set()
        assert observations.get(timeout=5) is True
    finally:
        server.stop()
        thread.join()
