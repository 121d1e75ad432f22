"""Forward callers' requests for services to workers."""

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
from savorydale.settings.tree import Workload
from savorydale.web.access import Authenticator
from savorydale.web.bridge import LoopBridge
from savorydale.web.disconnects import CONNECTION_KEY, is_closed_by_peer

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]

CALL_PREFIX = "/call"
BRIDGE_MARGIN_SECONDS = 5.0
MAX_KEY_LENGTH = 256
UNFORWARDED_HEADERS = ("savorydale-timeout-ms", "savorydale-key", "idempotency-key")


class ParsedRequest(NamedTuple):
    """A caller's request, the call made from it, and the caller's connection."""

    call: Call
    request: CallerRequest
    connection: socket.socket | None


class CallerApplication:
    """WSGI application at ``/call/<service>/<path>``.

    Parameters
    ----------
    entry : Entry
        Routes the calls.
    bridge : LoopBridge
        Runs the router on the entry's event loop.
    forwarder : Forwarder
        Sends requests to workers.
    authenticator : Authenticator
        Checks callers' shared key.
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
        """Respond to one request."""
        started_at = self._bridge.time()
        try:
            if not self._authenticator.is_allowed_wsgi(environ):
                raise ResultError(ResultCode.UNAUTHENTICATED)
            outcome = self._execute(self._parse(environ))
        except ResultError as error:
            self._entry.counters.increment(f"calls.refused.{error.code.name.lower()}")
            return _respond_with_code(start_response, error.code, error.detail)
        latency_seconds = self._bridge.time() - started_at
        self._entry.counters.record_latency("call", latency_seconds)
        match outcome:
            case Answered():
                return _respond_with_answer(start_response, outcome)
            case NotRun(code, detail) | OutcomeUnknown(code, detail):
                return _respond_with_code(start_response, code, detail)

    def _execute(self, parsed: ParsedRequest) -> Answered | NotRun | OutcomeUnknown:
        """Execute the router's steps until the call has an outcome."""
        call, request, connection = parsed
        remaining_seconds = call.deadline - self._bridge.time()
        timeout = remaining_seconds + BRIDGE_MARGIN_SECONDS
        router = self._entry.router
        step = self._bridge.call(router.begin_now, call, timeout=timeout)
        if step is None:
            step = self._wait_for_step(call, connection, timeout)
        while True:
            match step:
                case Finish(outcome):
                    return outcome
                case Send(grant):
                    outcome = self._forwarder.send(grant, request)
            if isinstance(outcome, Answered) and call.key is None:
                self._bridge.post(router.handle_answer, grant, outcome)
                return outcome
            step = self._bridge.run(router.handle_outcome(grant, outcome), timeout)

    def _wait_for_step(
        self, call: Call, connection: socket.socket | None, timeout: float
    ) -> Step:
        """Wait for a slot until the caller disconnects.

        A call with an idempotency key is not cancelled when the caller disconnects,
        because its record has been created.
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
        headers = _parse_headers(environ)
        request = CallerRequest(environ["REQUEST_METHOD"], target, headers, body)
        call = self._make_call(environ, service, request)
        return ParsedRequest(call, request, environ.get(CONNECTION_KEY))

    def _make_call(
        self, environ: Environ, service: Workload, request: CallerRequest
    ) -> Call:
        values = service.values
        timeout_ms = _parse_timeout_ms(environ, values["request_timeout_ms"])
        key = environ.get("HTTP_IDEMPOTENCY_KEY")
        if key is not None and not 1 <= len(key) <= MAX_KEY_LENGTH:
            detail = f"Idempotency-Key takes 1 to {MAX_KEY_LENGTH} characters."
            raise ResultError(ResultCode.INVALID_HEADER, detail)
        fingerprint = ""
        if key is not None:
            content = f"{request.method} {request.target}\n".encode() + request.body
            fingerprint = hashlib.sha256(content).hexdigest()
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


def _parse_timeout_ms(environ: Environ, max_ms: int) -> int:
    text = environ.get("HTTP_SAVORYDALE_TIMEOUT_MS")
    if text is None:
        return max_ms
    if not text.isascii() or not text.isdigit() or int(text) == 0:
        detail = "Savorydale-Timeout-Ms takes a number of milliseconds."
        raise ResultError(ResultCode.INVALID_HEADER, detail)
    return min(int(text), max_ms)


def _read_body(environ: Environ, limit_bytes: int) -> bytes:
    """Return the complete body; raise if it is truncated, before the call begins."""
    stream = environ["wsgi.input"]
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
        body = stream.read(limit_bytes + 1)
        if len(body) > limit_bytes:
            raise ResultError(ResultCode.BODY_TOO_LARGE)
        return body
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > limit_bytes:
        raise ResultError(
            ResultCode.BODY_TOO_LARGE, f"The limit is {limit_bytes} bytes."
        )
    body = stream.read(length) if length else b""
    if len(body) != length:
        raise ResultError(ResultCode.MALFORMED_BODY, "The body is incomplete.")
    return body


def _parse_headers(environ: Environ) -> tuple[tuple[str, str], ...]:
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
        if name.lower() not in UNFORWARDED_HEADERS
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
