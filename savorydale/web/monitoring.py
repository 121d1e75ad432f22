"""Serve readiness to the load balancer and metrics to operators."""

from collections.abc import Callable

from aiohttp import web

from savorydale.counters import Counters

READINESS_PATH = "/-/readiness"


def make_readiness_application(is_ready: Callable[[], bool]) -> web.Application:
    """Return the application that reports readiness to the load balancer."""

    async def respond(request: web.Request) -> web.Response:
        ready = is_ready()
        return web.Response(
            status=200 if ready else 503, text="ready" if ready else "not ready"
        )

    application = web.Application()
    application.router.add_get(READINESS_PATH, respond)
    return application


def make_metrics_application(counters: Counters) -> web.Application:
    """Return the application that lists all counters and latencies as text."""

    async def respond(request: web.Request) -> web.Response:
        snapshot = counters.snapshot()
        lines = [f"{name} {value}" for name, value in snapshot.count_by_name.items()]
        for name, summary in snapshot.latency_by_name.items():
            lines += [f"{name}.{key} {value}" for key, value in summary.items()]
        return web.Response(text="\n".join(lines) + "\n")

    application = web.Application()
    application.router.add_get("/metrics", respond)
    return application
