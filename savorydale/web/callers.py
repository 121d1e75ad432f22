"""The page for callers: passes requests for services on to workers."""

import hashlib
import json
import socket
import uuid
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from savorydale.entry import Entry
from savorydale.exceptions import ResultError
from savorydale.results import INFO_BY_CODE, RESULT_HEADER, ResultCode
from savorydale.routing.calls import (
    Answered,
    Call,
    Finish,
    NotRun,
    OutcomeUnknown,
    Send,
    Step,
)
from savorydale.routing.forwarding import CallerRequest, Forwarder, end_to_end_headers
from savorydale.settings.tree import Work
from savorydale.web.access import Authenticator
from savorydale.web.bridge import LoopBridge
from savorydale.web.disconnects import CONNECTION_KEY, is_closed_by_peer

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]

CALL_PREFIX = "/call"
BRIDGE_MARGIN_SECONDS = 5.0
LONGEST_KEY = 256
OWN_HEADERS = ("savorydale-timeout-ms", "savorydale-key", "idempotency-key")


class ParsedRequest(NamedTuple):
    """A caller's request, and the call that it makes."""

    call: Call
    request: CallerRequest
    connection: socket.socket | None


class CallerApplication:
    """WSGI application at ``/call/<service>/<path>``.

    Parameters
    ----------
    entry : Entry
        Decides.
    bridge : LoopBridge
        Reaches the entry from a thread.
    forwarder : Forwarder
        Sends to workers.
    authenticator : Authenticator
        Says who may call.
    """

    def __init__(
        self,
        entry: Entry,
        bridge: LoopBridge,
        forwarder: Forwarder,
        authenticator: Authenticator,
    ):
        self._entry = entry
        self._bridge = bridge
        self._forwarder = forwarder
        self._authenticator = authenticator

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        started_at = self._bridge.time()
        try:
            if not self._authenticator.is_allowed_wsgi(environ):
                raise ResultError(ResultCode.UNAUTHENTICATED)
            outcome = self._drive(self._parse(environ))
        except ResultError as error:
            self._entry.counters.increment(f"calls.refused.{error.code.name.lower()}")
            return _respond_with_code(start_response, error.code, error.detail)
        seconds = self._bridge.time() - started_at
        self._entry.counters.record_latency("call", seconds)
        match outcome:
            case Answered():
                return _respond_with_answer(start_response, outcome)
            case NotRun(code, detail) | OutcomeUnknown(code, detail):
                return _respond_with_code(start_response, code, detail)

    def _drive(self, parsed: ParsedRequest) -> Answered | NotRun | OutcomeUnknown:
        """Do what the router says until the call is over."""
        call, request, connection = parsed
        remaining = call.deadline - self._bridge.time()
        longest = remaining + BRIDGE_MARGIN_SECONDS
        router = self._entry.router
        step = self._bridge.call(router.begin_now, call, timeout=longest)
        if step is None:
            step = self._wait_for_step(call, connection, longest)
        while True:
            match step:
                case Finish(outcome):
                    return outcome
                case Send(grant):
                    outcome = self._forwarder.send(grant, request)
            if isinstance(outcome, Answered) and call.key is None:
                self._bridge.post(router.settle_answer, grant, outcome)
                return outcome
            step = self._bridge.run(router.settle(grant, outcome), longest)

    def _wait_for_step(
        self, call: Call, connection: socket.socket | None, timeout: float
    ) -> Step:
        """Wait for a slot while the caller does.

        A call with a key is waited for to its end: its record has been begun.
        """
        waiting = self._entry.router.begin_waiting(call)
        if call.key is not None:
            return self._bridge.run(waiting, timeout)
        step = self._bridge.run_while(
            waiting, lambda: not is_closed_by_peer(connection), timeout
        )
        return Finish(NotRun(ResultCode.CALLER_LEFT)) if step is None else step

    def _parse(self, environ: Environ) -> ParsedRequest:
        name, _, path = environ["PATH_INFO"].lstrip("/").partition("/")
        service = self._entry.settings.tree.service_by_name.get(name)
        if service is None:
            if not self._entry.settings.loaded:
                raise ResultError(ResultCode.ENTRY_STARTING)
            raise ResultError(ResultCode.UNKNOWN_SERVICE, f"Service {name!r}.")
        query = environ.get("QUERY_STRING")
        target = f"/requests/{name}/{path}" + (f"?{query}" if query else "")
        body = _read_body(environ, self._entry.config["http"]["body_limit_bytes"])
        headers = _headers_of(environ)
        request = CallerRequest(environ["REQUEST_METHOD"], target, headers, body)
        call = self._make_call(environ, service, request)
        return ParsedRequest(call, request, environ.get(CONNECTION_KEY))

    def _make_call(
        self, environ: Environ, service: Work, request: CallerRequest
    ) -> Call:
        values = service.values
        timeout_ms = _timeout_ms(environ, values["request_timeout_ms"])
        key = environ.get("HTTP_IDEMPOTENCY_KEY")
        if key is not None and not 1 <= len(key) <= LONGEST_KEY:
            detail = f"Idempotency-Key takes 1 to {LONGEST_KEY} characters."
            raise ResultError(ResultCode.INVALID_HEADER, detail)
        fingerprint = ""
        if key is not None:
            text = f"{request.method} {request.target}\n".encode() + request.body
            fingerprint = hashlib.sha256(text).hexdigest()
        return Call(
            id=uuid.uuid4().hex,
            service=service.name,
            team=service.team,
            deadline=self._bridge.time() + timeout_ms / 1000,
            idempotent=request.method in values["idempotent_methods"],
            interactive=values["interactive"],
            key=key,
            fingerprint=fingerprint,
        )


def _timeout_ms(environ: Environ, longest_ms: int) -> int:
    text = environ.get("HTTP_SAVORYDALE_TIMEOUT_MS")
    if text is None:
        return longest_ms
    if not text.isascii() or not text.isdigit() or int(text) == 0:
        detail = "Savorydale-Timeout-Ms takes a number of milliseconds."
        raise ResultError(ResultCode.INVALID_HEADER, detail)
    return min(int(text), longest_ms)


def _read_body(environ: Environ, limit: int) -> bytes:
    """Return the whole body; a body that breaks off raises before anything runs."""
    source = environ["wsgi.input"]
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
        body = source.read(limit + 1)
        if len(body) > limit:
            raise ResultError(ResultCode.BODY_TOO_LARGE)
        return body
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > limit:
        raise ResultError(ResultCode.BODY_TOO_LARGE, f"The limit is {limit} bytes.")
    body = source.read(length) if length else b""
    if len(body) != length:
        raise ResultError(ResultCode.MALFORMED_BODY, "The body is incomplete.")
    return body


def _headers_of(environ: Environ) -> tuple[tuple[str, str], ...]:
    headers = [
        (name[5:].replace("_", "-").title(), value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    ]
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    return tuple(
        (name, value)
        for name, value in end_to_end_headers(headers)
        if name.lower() not in OWN_HEADERS
    )


def _respond_with_answer(
    start_response: StartResponse, answer: Answered
) -> Iterable[bytes]:
    headers = [
        *answer.headers,
        ("Content-Length", str(len(answer.body))),
        (RESULT_HEADER, str(int(ResultCode.OK))),
    ]
    start_response(f"{answer.status} Answered", headers)
    return [answer.body]


def _respond_with_code(
    start_response: StartResponse, code: ResultCode, detail: str
) -> Iterable[bytes]:
    info = INFO_BY_CODE[code]
    message = f"{info.sentence} {detail}".strip()
    body = json.dumps({"code": int(code), "message": message}).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        (RESULT_HEADER, str(int(code))),
    ]
    start_response(f"{info.status} {code.name}", headers)
    return [body]
