"""HTTP client for the platform's store, workers and policy service."""

import asyncio
import errno
import json
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from typing import NamedTuple

import aiohttp

from savorydale.exceptions import RowFormatError
from savorydale.utils.json_values import JsonObject, load_json_object

CONNECT_TIMEOUT_SECONDS = 0.5
CONNECTIONS_PER_HOST = 8
IDLE_CONNECTION_SECONDS = 30.0


class HttpReply(NamedTuple):
    """A complete response; ``body`` is ``None`` if it is not a JSON object."""

    status: int
    body: JsonObject | None


class NotSentError(Exception):
    """No connection could be made, so nothing was sent."""


class ConnectionRefused(NotSentError):
    """No process listens at the address."""


class NoReplyError(Exception):
    """The request may have arrived, but no complete response was received."""


class HttpClient:
    """Sends JSON requests over persistent connections, each with a timeout."""

    def __init__(self, session: aiohttp.ClientSession):
        self._session = session

    async def send(
        self,
        method: str,
        url: str,
        timeout_seconds: float,
        body: JsonObject | None = None,
        headers: Mapping[str, str] | None = None,
        params: Mapping[str, str] | None = None,
        max_reply_bytes: int | None = None,
    ) -> HttpReply:
        """Send one request and return the response.

        A response longer than ``max_reply_bytes`` counts as none.

        Raises
        ------
        ConnectionRefused
            If no process listens at the address.
        NotSentError
            If no connection could be made for another reason.
        NoReplyError
            If no complete response arrived in time.
        """
        data = None if body is None else json.dumps(body, separators=(",", ":"))
        all_headers = {"Content-Type": "application/json", **(headers or {})}
        try:
            async with (
                asyncio.timeout(timeout_seconds),
                self._session.request(
                    method, url, data=data, headers=all_headers, params=params
                ) as response,
            ):
                raw = await _read_body(response, max_reply_bytes)
        except aiohttp.ClientConnectorError as error:
            if error.os_error.errno == errno.ECONNREFUSED:
                raise ConnectionRefused(str(error)) from error
            raise NotSentError(str(error)) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise NotSentError("connecting timed out") from error
        except aiohttp.InvalidURL as error:
            raise NotSentError("the address is not valid") from error
        except TimeoutError as error:
            raise NoReplyError(f"no answer within {timeout_seconds:.2f} s") from error
        except (aiohttp.ClientError, OSError, ValueError, OverflowError) as error:
            # A registration may hold an address or an ID that HTTP cannot carry.
            raise NoReplyError(repr(error)) from error
        return HttpReply(response.status, _parse(raw))


async def _read_body(response: aiohttp.ClientResponse, max_bytes: int | None) -> bytes:
    if max_bytes is None:
        return await response.read()
    raw = bytearray()
    async for chunk in response.content.iter_any():
        raw += chunk
        if len(raw) > max_bytes:
            response.close()
            raise NoReplyError(f"the answer is longer than {max_bytes} bytes")
    return bytes(raw)


def _parse(raw: bytes) -> JsonObject | None:
    try:
        return load_json_object(raw)
    except RowFormatError:
        return None  # the caller decides what a response without a body means


@asynccontextmanager
async def open_http_client() -> AsyncIterator[HttpClient]:
    """Open the client and close its connections at the end."""
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=CONNECTIONS_PER_HOST,
        keepalive_timeout=IDLE_CONNECTION_SECONDS,
        use_dns_cache=False,
    )
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout, auto_decompress=False
    ) as session:
        yield HttpClient(session)
