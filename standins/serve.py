"""Serve the store's and the workers' stand-ins over HTTP on loopback."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Protocol

from aiohttp import web

from standins.row_store import Reply


class Handler(Protocol):
    """Answers one request; both stand-ins do."""

    async def handle(
        self, method: str, path: str, params: dict[str, str], body: dict | None
    ) -> Reply:
        """Answer one request."""


@contextlib.asynccontextmanager
async def serve(handler: Handler, port: int) -> AsyncIterator[str]:
    """Serve ``handler`` on a port of loopback; yields its address."""

    async def answer(request: web.Request) -> web.Response:
        raw = await request.read()
        body = json.loads(raw) if raw else None
        reply = await handler.handle(
            request.method, request.path, dict(request.query), body
        )
        return web.json_response(reply.body, status=reply.status)

    application = web.Application(client_max_size=4 * 1024 * 1024)
    application.router.add_route("*", "/{path:.*}", answer)
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    try:
        await web.TCPSite(runner, "127.0.0.1", port).start()
        yield f"127.0.0.1:{port}"
    finally:
        with contextlib.suppress(asyncio.CancelledError):
            await runner.cleanup()
