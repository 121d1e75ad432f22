"""The client tells a refused connection from one that cannot be made in time.

These tests use real sockets: the operating system decides which error is raised.
"""

import asyncio
import socket

import pytest

from savorydale.platform import http
from savorydale.platform.http import (
    ConnectionRefused,
    NoReplyError,
    NotSentError,
    open_http_client,
)
from standins.entry_process import free_port
from standins.row_store import Reply
from standins.serve import serve


def bound_socket():
    """Return a socket at a free port, on which nothing listens yet."""
    bound = socket.socket()
    bound.bind(("127.0.0.1", 0))
    return bound


async def send_to(bound):
    async with open_http_client() as client:
        url = f"http://127.0.0.1:{bound.getsockname()[1]}/"
        return await client.send("POST", url, 2.0, {})


def test_connection_is_refused_if_no_process_listens():
    with bound_socket() as bound, pytest.raises(ConnectionRefused):
        asyncio.run(send_to(bound))


def test_connection_that_times_out_is_not_refused(monkeypatch):
    # The queue of connections that nobody accepts is full, so packets are dropped.
    monkeypatch.setattr(http, "CONNECT_TIMEOUT_SECONDS", 0.2)
    with bound_socket() as bound, socket.socket() as first:
        bound.listen(0)
        first.connect(bound.getsockname())
        with pytest.raises(NotSentError) as caught:
            asyncio.run(send_to(bound))
        assert not isinstance(caught.value, ConnectionRefused)


def test_connection_that_breaks_is_not_refused():
    with bound_socket() as bound:
        bound.listen(1)

        async def accept_and_close():
            connection, _ = await asyncio.to_thread(bound.accept)
            connection.close()

        async def run():
            accepting = asyncio.create_task(accept_and_close())
            with pytest.raises(NoReplyError):
                await send_to(bound)
            await accepting

        asyncio.run(run())


class LongAnswer:
    """Answers each request with about 1 MB."""

    async def handle(self, method, path, params, body):
        return Reply(200, {"running": ["x" * 1000] * 1000})


@pytest.mark.parametrize("limit", [None, 2_000_000])
def test_long_answer_is_read_up_to_the_limit(limit):
    assert len(asyncio.run(request_long_answer(limit)).body["running"]) == 1000


def test_answer_over_the_limit_counts_as_none():
    with pytest.raises(NoReplyError):
        asyncio.run(request_long_answer(100_000))


async def request_long_answer(limit):
    async with (
        serve(LongAnswer(), free_port()) as address,
        open_http_client() as client,
    ):
        url = f"http://{address}/"
        return await client.send("POST", url, 5.0, {}, max_reply_bytes=limit)
