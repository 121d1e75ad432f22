"""Serves the row store and task worker stand-ins over HTTP on loopback."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Callable
from typing import Protocol

from aiohttp import web

from standins.row_store import Reply

TARGET_HEADER = "Savorydale-Target-Instance"
OTHER_INSTANCE = Reply(421, {})


class Handler(Protocol):
    """Interface of a stand-in that can be served over HTTP."""

    async def handle(
        self, method: str, path: str, params: dict[str, str], body: dict | None
    ) -> Reply:
        """Handle one request."""


@contextlib.asynccontextmanager
async def serve(
    handler: Handler, port: int, read_instance: Callable[[], str] | None = None
) -> AsyncIterator[str]:
    """Serve ``handler`` on a loopback port and yield its address.

    Requests for another instance than ``read_instance()`` are refused, if it is given.
    """

    async def respond(request: web.Request) -> web.Response:
        raw = await request.read()
        target = request.headers.get(TARGET_HEADER)
        if read_instance is not None and target != read_instance():
            return web.json_response(OTHER_INSTANCE.body, status=OTHER_INSTANCE.status)
        body = json.loads(raw) if raw else None
        reply = await handler.handle(
            request.method, request.path, dict(request.query), body
        )
        return web.json_response(reply.body, status=reply.status)

    application = web.Application(client_max_size=4 * 1024 * 1024)
    application.router.add_route("*", "/{path:.*}", respond)
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    try:
        await web.TCPSite(runner, "127.0.0.1", port).start()
        yield f"127.0.0.1:{port}"
    finally:
        with contextlib.suppress(asyncio.CancelledError):
            await runner.cleanup()
