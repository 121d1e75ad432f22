"""Run a process that accepts and schedules jobs until it receives a signal to stop."""

import asyncio
import functools
import logging
import pathlib
import signal
import uuid

from savorydale.commands.exit_codes import ExitCode
from savorydale.config.vm import load_vm_config
from savorydale.counters import Counters
from savorydale.exceptions import ConfigurationError
from savorydale.job_entry import JobEntry
from savorydale.messages.vm_types import VmConfig
from savorydale.platform.http import open_http_client
from savorydale.utils.json_logs import json_logs
from savorydale.utils.reload_signal import handle_reload_signal

log = logging.getLogger(__name__)


def serve_jobs(path: pathlib.Path) -> ExitCode:
    """Run the process with the settings file at ``path`` until it is stopped."""
    config = load_vm_config(path)
    counters = Counters()
    with json_logs(config["logging"]["level"], config["vm"]["name"], counters):
        asyncio.run(_serve(config, path, counters))
    return ExitCode.OK


async def _serve(config: VmConfig, path: pathlib.Path, counters: Counters) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    handle_reload_signal(loop, functools.partial(_check_settings_file, path, config))
    async with open_http_client() as http:
        await JobEntry(config, http, counters, uuid.uuid4().hex).run(stop)


def _check_settings_file(path: pathlib.Path, config: VmConfig) -> None:
    """Log whether the settings file has changed; changes need a restart."""
    try:
        changed = load_vm_config(path) != config
    except ConfigurationError as configuration_error:
        errors = [str(error) for error in configuration_error.exceptions]
        log.warning("settings file is invalid", extra={"faults": errors})
        return
    log.info("settings file read again", extra={"changed": changed})
