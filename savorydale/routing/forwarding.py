"""Sends requests to workers over HTTP and classifies the outcomes."""

import contextlib
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import urllib3

from savorydale.results import ResultCode
from savorydale.routing.calls import Answered, Grant, NotRun, Outcome, OutcomeUnknown

ENTRY_HEADER = "Savorydale-Entry"
REQUEST_HEADER = "Savorydale-Request"
DEADLINE_HEADER = "Savorydale-Deadline-Ms"
NOT_RUN_HEADER = "Savorydale-Not-Run"
# A worker accepts 64 connections; 7 entries use 63, with one each for commands.
CONNECTIONS_PER_WORKER = 8
MIN_TIMEOUT_SECONDS = 0.001
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class CallerRequest(NamedTuple):
    """A caller's request in the form in which it is sent to the worker."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Forwarder:
    """Sends requests to workers over pooled connections.

    Parameters
    ----------
    incarnation : str
        Identifies this entry to the workers.
    """

    def __init__(self, incarnation: str):
        self._incarnation = incarnation
        self._pool_by_address: dict[str, urllib3.HTTPConnectionPool] = {}

    def close(self) -> None:
        """Close all connections."""
        for pool in self._pool_by_address.values():
            pool.close()

    def _pool_of(self, address: str) -> urllib3.HTTPConnectionPool:
        pool = self._pool_by_address.get(address)
        if pool is not None:
            return pool
        host, _, port = address.rpartition(":")
        new_pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=CONNECTIONS_PER_WORKER, block=True
        )
        return self._pool_by_address.setdefault(address, new_pool)

    def send(self, grant: Grant, request: CallerRequest) -> Outcome:
        """Send ``request`` once, to the worker of ``grant``, and return the outcome.

        A connection is closed after any error, so that a late response cannot be
        taken for that of another request.
        """
        headers = dict(request.headers)
        headers[ENTRY_HEADER] = self._incarnation
        headers[REQUEST_HEADER] = grant.call.id
        headers[DEADLINE_HEADER] = str(int(grant.timeout_seconds * 1000))
        timeout = max(MIN_TIMEOUT_SECONDS, grant.timeout_seconds)
        try:
            response = self._pool_of(grant.address).urlopen(
                request.method,
                request.target,
                headers=headers,
                body=request.body,
                timeout=urllib3.Timeout(total=timeout),
                pool_timeout=timeout,
                retries=False,
                redirect=False,
                decode_content=False,
            )
        except urllib3.exceptions.HTTPError as error:
            return _outcome_of_error(error)
        return _outcome_of_response(grant, response)


def _outcome_of_error(error: urllib3.exceptions.HTTPError) -> Outcome:
    """Return NotRun only if no byte of the request can have reached the worker."""
    match error:
        case (
            urllib3.exceptions.NewConnectionError()
            | urllib3.exceptions.ConnectTimeoutError()
            | urllib3.exceptions.EmptyPoolError()
        ):
            return NotRun(ResultCode.WORKER_UNREACHABLE, str(error))
        case urllib3.exceptions.ReadTimeoutError():
            return OutcomeUnknown(ResultCode.ANSWER_TIMEOUT)
        case _:
            return OutcomeUnknown(ResultCode.ANSWER_LOST, type(error).__name__)


def _outcome_of_response(grant: Grant, response: urllib3.BaseHTTPResponse) -> Outcome:
    if NOT_RUN_HEADER in response.headers:
        return NotRun(ResultCode.WORKER_REFUSED, response.headers[NOT_RUN_HEADER])
    if response.headers.get(REQUEST_HEADER) != grant.call.id:
        return OutcomeUnknown(ResultCode.ANSWER_FOREIGN)
    if "content-length" not in response.headers and not response.chunked:
        return OutcomeUnknown(ResultCode.ANSWER_INCOMPLETE)
    headers = end_to_end_headers(response.headers.items())
    return Answered(response.status, headers, response.data)


def end_to_end_headers(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Return ``headers`` without the hop-by-hop headers."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP_HEADERS
    )


@contextlib.contextmanager
def open_forwarder(incarnation: str) -> Iterator[Forwarder]:
    """Yield a forwarder and close its connections afterwards."""
    forwarder = Forwarder(incarnation)
    try:
        yield forwarder
    finally:
        forwarder.close()
