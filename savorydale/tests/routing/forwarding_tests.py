import contextlib
import socket
import struct
import threading

import pytest

from savorydale.results import ResultCode
from savorydale.routing.calls import Answered, Call, Grant, NotRun, OutcomeUnknown
from savorydale.routing.forwarding import CallerRequest, open_forwarder

COMPLETE_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nSavorydale-Request: c1\r\n"
    b"Connection: keep-alive\r\n\r\nok"
)
REQUEST = CallerRequest("POST", "/requests/desk/x", (), b"count")


def receive_request(connection):
    """Read a whole request: closing with unread bytes would reset the connection."""
    received = b""
    while not received.endswith(b"\r\n\r\n" + REQUEST.body):
        part = connection.recv(65536)
        if not part:
            return False
        received += part
    return True


@contextlib.contextmanager
def raw_server(*responses):
    """Yield the address of a server that sends raw bytes, one item per request."""
    connections = []
    with socket.create_server(("127.0.0.1", 0)) as server:

        def serve():
            with contextlib.suppress(OSError):
                while True:
                    connection, _ = server.accept()
                    connections.append(connection)
                    threading.Thread(
                        target=handle_connection, args=(connection,)
                    ).start()

        def handle_connection(connection):
            with connection:
                while remaining_responses:
                    if not receive_request(connection):
                        return
                    response = remaining_responses.pop(0)
                    if response is None:
                        released.wait(5)
                        return
                    connection.sendall(response)

        remaining_responses = list(responses)
        released = threading.Event()
        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        yield f"127.0.0.1:{server.getsockname()[1]}", connections
        released.set()


def grant(address, call_id="c1", timeout=5.0):
    call = Call(call_id, "desk", "team", 0.0)
    return Grant(call, "w0", address, 1, 0.0, timeout)


def send_one(response, call_id="c1", timeout=5.0):
    with raw_server(response) as (address, _), open_forwarder("e1") as forwarder:
        return forwarder.send(grant(address, call_id, timeout), REQUEST)


def test_a_complete_response_is_returned():
    outcome = send_one(COMPLETE_RESPONSE)
    assert isinstance(outcome, Answered)
    assert outcome.body == b"ok"
    assert "content-length" not in {name.lower() for name, _ in outcome.headers}


@pytest.mark.parametrize(
    ("response", "code"),
    [
        (COMPLETE_RESPONSE[:-1], ResultCode.ANSWER_LOST),
        (
            COMPLETE_RESPONSE.replace(b"Content-Length: 2\r\n", b""),
            ResultCode.ANSWER_INCOMPLETE,
        ),
        (COMPLETE_RESPONSE.replace(b"c1", b"c2"), ResultCode.ANSWER_FOREIGN),
        (
            COMPLETE_RESPONSE.replace(b"Savorydale-Request: c1\r\n", b""),
            ResultCode.ANSWER_FOREIGN,
        ),
        (b"", ResultCode.ANSWER_LOST),
        (b"HTTP/1.1 200", ResultCode.ANSWER_FOREIGN),
        (b"nonsense\r\n\r\n", ResultCode.ANSWER_LOST),
    ],
)
def test_an_incomplete_or_foreign_response_has_an_unknown_outcome(response, code):
    with (
        raw_server(response) as (address, connections),
        open_forwarder("e1") as forwarder,
    ):
        closing = threading.Timer(0.3, lambda: shut_down(connections))
        closing.start()
        outcome = forwarder.send(grant(address), REQUEST)
        closing.join()
    assert isinstance(outcome, OutcomeUnknown)
    assert outcome.code == code


def shut_down(connections):
    for connection in connections:
        with contextlib.suppress(OSError):
            connection.shutdown(socket.SHUT_RDWR)


def test_a_connection_is_not_reused_after_a_timeout():
    with raw_server(None, COMPLETE_RESPONSE) as (address, connections):
        with open_forwarder("e1") as forwarder:
            timed_out = forwarder.send(grant(address, timeout=0.2), REQUEST)
            assert timed_out == OutcomeUnknown(ResultCode.ANSWER_TIMEOUT)
            assert isinstance(forwarder.send(grant(address), REQUEST), Answered)
        assert len(connections) == 2


def test_an_extra_response_on_a_connection_is_discarded():
    responses = (
        COMPLETE_RESPONSE + COMPLETE_RESPONSE,
        COMPLETE_RESPONSE.replace(b"c1", b"c3"),
    )
    with raw_server(*responses) as (address, _), open_forwarder("e1") as forwarder:
        assert isinstance(forwarder.send(grant(address), REQUEST), Answered)
        second = forwarder.send(grant(address, "c3"), REQUEST)
    match second:
        case Answered(_, headers, _):
            assert ("Savorydale-Request", "c3") in headers
        case _:
            assert isinstance(second, OutcomeUnknown)


def test_a_connection_reset_during_a_request_has_an_unknown_outcome():
    with socket.create_server(("127.0.0.1", 0)) as server:

        def reset():
            connection, _ = server.accept()
            connection.recv(1)
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            connection.close()

        thread = threading.Thread(target=reset)
        thread.start()
        address = f"127.0.0.1:{server.getsockname()[1]}"
        with open_forwarder("e1") as forwarder:
            outcome = forwarder.send(grant(address), REQUEST)
        thread.join()
    assert isinstance(outcome, OutcomeUnknown)
    assert outcome.code == ResultCode.ANSWER_LOST


def test_a_refused_connection_means_not_run():
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
    with open_forwarder("e1") as forwarder:
        outcome = forwarder.send(grant(address), REQUEST)
    assert isinstance(outcome, NotRun)
    assert outcome.code == ResultCode.WORKER_UNREACHABLE


def test_a_refusal_by_the_worker_means_not_run():
    refusal = COMPLETE_RESPONSE.replace(b"200 OK", b"503 X\r\nSavorydale-Not-Run: full")
    assert send_one(refusal) == NotRun(ResultCode.WORKER_REFUSED, "full")
