"""The HTTP server of an entry."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator

import cherrypy

from savorydale.entry import Entry
from savorydale.results import INFO_BY_CODE, RESULT_HEADER, ResultCode
from savorydale.routing.forwarding import open_forwarder
from savorydale.web.access import Authenticator
from savorydale.web.bridge import LoopBridge
from savorydale.web.callers import CALL_PREFIX, CallerApplication
from savorydale.web.disconnects import make_server
from savorydale.web.operators import OperatorPages

SHUTDOWN_TIMEOUT_SECONDS = 10.0
HEALTH_TIMEOUT_SECONDS = 2.0
# CherryPy's own limit on bodies, as a multiple of the configured one. It refuses larger
# bodies without a result code.
OVERSIZE_RATIO = 16


class RootPages:
    """Pages below ``/``; those defined here need no shared key."""

    def __init__(self, entry: Entry, bridge: LoopBridge, operator: OperatorPages):
        self._entry = entry
        self._bridge = bridge
        self.operator = operator

    @cherrypy.expose
    def health(self) -> bytes:
        """Report to the platform's load balancer whether this entry is ready."""
        ready = self._bridge.run(self._is_ready(), HEALTH_TIMEOUT_SECONDS)
        cherrypy.response.status = 200 if ready else 503
        return b"ready\n" if ready else b"not ready\n"

    async def _is_ready(self) -> bool:
        return self._entry.is_ready()


def _error_page(status: str, message: str, traceback: str, version: str) -> str:
    """Return the JSON body for an error that no page has handled."""
    status_code = int(status.split()[0])
    code = {
        404: ResultCode.UNKNOWN_PAGE,
        405: ResultCode.METHOD_NOT_ALLOWED,
        413: ResultCode.BODY_TOO_LARGE,
    }.get(status_code, ResultCode.INTERNAL_ERROR)
    cherrypy.response.headers["Content-Type"] = "application/json"
    cherrypy.response.headers[RESULT_HEADER] = str(int(code))
    return json.dumps({"code": int(code), "message": INFO_BY_CODE[code].sentence})


@contextlib.asynccontextmanager
async def open_server(entry: Entry) -> AsyncIterator[None]:
    """Serve callers and operators of ``entry`` until the block ends."""
    loop = asyncio.get_running_loop()
    bridge = LoopBridge(loop)
    authenticator = Authenticator(entry.config["security"].get("shared_key"))
    with open_forwarder(entry.record.incarnation) as forwarder:
        operator = OperatorPages(entry, bridge, authenticator)
        application = CallerApplication(entry, bridge, forwarder, authenticator)
        _configure(entry)
        cherrypy.tree.mount(
            RootPages(entry, bridge, operator),
            "/",
            {"/": {"error_page.default": _error_page}},
        )
        cherrypy.tree.graft(application, CALL_PREFIX)
        await asyncio.to_thread(cherrypy.engine.start)
        try:
            yield
        finally:
            await asyncio.to_thread(cherrypy.engine.exit)


def _configure(entry: Entry) -> None:
    http = entry.config["http"]
    cherrypy.config.update(
        {
            "environment": "production",
            "engine.autoreload.on": False,
            "log.screen": False,
            "server.socket_host": http["host"],
            "server.socket_port": http["port"],
            "server.thread_pool": http["threads"],
            "server.socket_queue_size": http["backlog"],
            "server.socket_timeout": http["idle_timeout_seconds"],
            "server.max_request_body_size": http["body_limit_bytes"] * OVERSIZE_RATIO,
            "server.shutdown_timeout": SHUTDOWN_TIMEOUT_SECONDS,
        }
    )
    cherrypy.server.instance = make_server()
