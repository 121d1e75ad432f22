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
