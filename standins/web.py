"""Small JSON-over-HTTP server for the stand-ins."""

import errno
import json
from collections.abc import Callable
from typing import Any, NamedTuple

from cheroot import wsgi

JsonObject = dict[str, Any]


class Response(NamedTuple):
    """Status, JSON body and extra headers of a response."""

    status: int
    body: JsonObject
    headers: tuple[tuple[str, str], ...] = ()


class DropResponseError(ConnectionResetError):
    """Makes the server close the connection without sending a response."""

    def __init__(self) -> None:
        super().__init__(errno.ECONNRESET, "response dropped by an injected fault")


Handler = Callable[[str, str, dict[str, str], bytes], Response]


def make_server(host: str, port: int, handler: Handler, threads: int) -> wsgi.Server:
    """Return a server that passes each request to ``handler``."""

    def application(environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        headers = {
            key[5:].replace("_", "-").lower(): value
            for key, value in environ.items()
            if key.startswith("HTTP_")
        }
        response = handler(
            environ["REQUEST_METHOD"], environ["PATH_INFO"], headers, body
        )
        data = json.dumps(response.body).encode()
        start_response(
            f"{response.status} Status",
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(data))),
                *response.headers,
            ],
        )
        return [data]

    server = wsgi.Server(
        (host, port), application, numthreads=threads, request_queue_size=256
    )
    server.timeout = 60
    return server
