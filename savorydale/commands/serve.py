"""Run an entry until it receives a signal to stop."""

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
from savorydale.utils.reload_signal import handle_reload_signal
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
    """Run the entry with the settings file at ``path`` until it is stopped."""
    config = load_config(path)
    _set_up_logging(config["logging"])
    return asyncio.run(_serve(config))


def _log_ignored_reload() -> None:
    log.info("SIGHUP has no effect; the settings file is read at the start only")


def _set_up_logging(options: LoggingOptions) -> None:
    handler = logging.StreamHandler(sys.stderr)
    if options["format"] == "json":
        handler.setFormatter(JsonFormatter())
    else:
        plain = "%(asctime)s %(levelname)s %(name)s: %(message)s"
        handler.setFormatter(logging.Formatter(plain))
    logging.basicConfig(level=options["level"].upper(), handlers=[handler])
    handler.addFilter(_is_relevant_record)


def _is_relevant_record(record: logging.LogRecord) -> bool:
    """Drop records of libraries below ERROR, such as one for each request."""
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
        handle_reload_signal(loop, _log_ignored_reload)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop.set)
        entry_task = asyncio.create_task(entry.run())
        entry_task.add_done_callback(lambda _: stop.set())
        async with open_server(entry):
            log.info("entry %s serves", config["entry"]["name"])
            await stop.wait()
            if not entry_task.done():
                await entry.drain(DRAIN_TIMEOUT_SECONDS)
        return await _shut_down(entry_task)


async def _shut_down(entry_task: asyncio.Task[None]) -> ExitCode:
    if entry_task.done():
        log.error("entry failed", exc_info=entry_task.exception())
        return ExitCode.FAILED
    entry_task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await entry_task
    log.info("stopped")
    return ExitCode.OK
