"""Run an entry until it is told to stop."""

import asyncio
import contextlib
import json
import logging
import pathlib
import random
import signal
import sys
import time

from savorydale.commands.exit_codes import ExitCode
from savorydale.config.loading import load_config
from savorydale.entry import Entry, EntryDependencies
from savorydale.messages.entry_types import EntryConfig, LoggingOptions
from savorydale.storage.client import open_platform
from savorydale.utils.wall_clock import WallClock
from savorydale.web.server import open_server
from savorydale.workers.client import open_worker_client

WORKER_TIMEOUT_SECONDS = 2.0
DRAIN_TIMEOUT_SECONDS = 60.0

log = logging.getLogger(__name__)


class JsonFormatter(logging.Formatter):
    """Formats each record as one line of JSON."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line for ``record``."""
        line = {
            "time": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(record.created)),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
        }
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return json.dumps(line)


def serve(path: pathlib.Path) -> ExitCode:
    """Run the entry whose settings file is at ``path``."""
    config = load_config(path)
    _set_up_logging(config["logging"])
    return asyncio.run(_serve(config))


def _set_up_logging(options: LoggingOptions) -> None:
    handler = logging.StreamHandler(sys.stderr)
    if options["format"] == "json":
        handler.setFormatter(JsonFormatter())
    else:
        plain = "%(asctime)s %(levelname)s %(name)s: %(message)s"
        handler.setFormatter(logging.Formatter(plain))
    logging.basicConfig(level=options["level"].upper(), handlers=[handler])
    handler.addFilter(_is_worth_a_line)


def _is_worth_a_line(record: logging.LogRecord) -> bool:
    """Leave out what libraries say of each request."""
    is_library = record.name.startswith(("cherrypy", "urllib3", "asyncio"))
    return not is_library or record.levelno >= logging.ERROR


async def _serve(config: EntryConfig) -> ExitCode:
    platform_options = config["platform"]
    with (
        open_platform(
            platform_options["url"], platform_options["timeout_seconds"]
        ) as platform,
        open_worker_client(WORKER_TIMEOUT_SECONDS) as worker_client,
    ):
        dependencies = EntryDependencies(platform, worker_client, WallClock())
        entry = Entry(config, dependencies, random.Random())
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        running = asyncio.create_task(entry.run())
        running.add_done_callback(lambda _: stop.set())
        async with open_server(entry):
            log.info("entry %s serves", config["entry"]["name"])
            await stop.wait()
            if not running.done():
                await entry.drain(DRAIN_TIMEOUT_SECONDS)
        return await _end(running)


async def _end(running: asyncio.Task[None]) -> ExitCode:
    if running.done():
        log.error("entry failed", exc_info=running.exception())
        return ExitCode.FAILED
    running.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await running
    log.info("stopped")
    return ExitCode.OK
