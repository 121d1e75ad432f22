"""Detect callers that close their connection while their call waits."""

import select
import socket
from typing import Any

import cheroot.wsgi
from cherrypy._cpwsgi_server import CPWSGIServer

CONNECTION_KEY = "savorydale.connection"
PEEKED_BYTES = 1


class ConnectionGateway(cheroot.wsgi.Gateway_10):
    """Adds the socket of the caller's connection to the WSGI environment."""

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with the connection's socket."""
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.req.conn.socket
        return environ


def make_server() -> CPWSGIServer:
    """Return CherryPy's server as configured, with `ConnectionGateway`."""
    server = CPWSGIServer()
    server.gateway = ConnectionGateway
    return server


def is_closed_by_peer(connection: socket.socket | None) -> bool:
    """Return whether the peer has closed ``connection``.

    A connection with unread bytes, such as a pipelined request, counts as open.
    """
    if connection is None:
        return False
    try:
        poll = select.poll()
        poll.register(connection, select.POLLIN)
        return bool(poll.poll(0)) and not connection.recv(PEEKED_BYTES, socket.MSG_PEEK)
    except (OSError, ValueError):
        return True
