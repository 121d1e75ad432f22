"""Runs a savorydale entry as a process on loopback with its own settings file."""

import asyncio
import contextlib
import os
import pathlib
import random
import re
import signal
import socket
import sys

import aiohttp

STOP_GRACE_SECONDS = 2
LISTEN_PORT_RANGE = (10_000, 32_000)  # below the ephemeral ports

SETTINGS = """
[vm]
name = "{name}"
zone = "z1"
ip = "127.0.0.1"

[listen]
callers = "127.0.0.1:{callers}"
health = "127.0.0.1:{health}"
metrics_port = {metrics}

[store]
address = "{store}"

[timing]
lease_max_ms = {lease_max_ms}
stop_grace_s = {stop_grace_s}
"""


def free_port() -> int:
    """Return an unused port that no outgoing connection can be assigned."""
    while True:
        port = random.randrange(*LISTEN_PORT_RANGE)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


class EntryProcess:
    """One entry process with its settings file and log."""

    def __init__(self, name: str, store: str, folder: pathlib.Path, lease_max_ms: int):
        self.name = name
        self.callers_port = free_port()
        self._health_port = free_port()
        self._settings_path = folder / f"{name}.toml"
        self._log_path = folder / f"{name}.log"
        self._settings_path.write_text(
            SETTINGS.format(
                name=name,
                callers=self.callers_port,
                health=self._health_port,
                metrics=free_port(),
                store=store,
                lease_max_ms=lease_max_ms,
                stop_grace_s=STOP_GRACE_SECONDS,
            )
        )
        self.subprocess: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        with self._log_path.open("ab") as log_file:
            self.subprocess = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "savorydale",
                "serve-jobs",
                "--config",
                str(self._settings_path),
                stdout=log_file,
                stderr=log_file,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    async def stop(self, stop_signal: signal.Signals) -> None:
        """Send a signal and wait until the process has exited."""
        if self.subprocess is None or self.subprocess.returncode is not None:
            return
        self.subprocess.send_signal(stop_signal)
        await self.subprocess.wait()

    @property
    def pid(self) -> int | None:
        """Return the identifier of the process, or ``None`` if it does not run."""
        if self.subprocess is None or self.subprocess.returncode is not None:
            return None
        return self.subprocess.pid

    def logged_events(self, event: str) -> int:
        """Return how many log lines an event has."""
        text = self._log_path.read_text(errors="replace")
        return text.count(f'"event": "{event}"')

    def logged_tracebacks(self) -> list[str]:
        """Return the log lines with a traceback, shortened."""
        text = self._log_path.read_text(errors="replace")
        return [line[:500] for line in text.splitlines() if '"exc_info": "' in line]

    def handles(self, signal_number: signal.Signals) -> bool:
        """Return whether the process has installed a handler for a signal."""
        if self.subprocess is None or self.subprocess.returncode is not None:
            return False
        status = pathlib.Path(f"/proc/{self.subprocess.pid}/status").read_text()
        caught = re.search(r"SigCgt:\s*([0-9a-f]+)", status)
        return caught is not None and bool(int(caught[1], 16) & 1 << signal_number - 1)

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Return whether the readiness check of the load balancer succeeds."""
        url = f"http://127.0.0.1:{self._health_port}/-/readiness"
        try:
            async with session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False
