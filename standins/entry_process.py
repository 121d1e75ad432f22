"""A process of savorydale on loopback, with a settings file of its own."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import socket
import sys

import aiohttp

STOP_GRACE_SECONDS = 2
LISTENING_PORTS = (10_000, 32_000)  # below those of outgoing connections

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
    """Return a port that nobody listens on, nor takes for an outgoing connection."""
    while True:
        port = random.randrange(*LISTENING_PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


class EntryProcess:
    """One process of savorydale, with its settings file and log."""

    def __init__(self, name: str, store: str, folder: pathlib.Path, lease_max_ms: int):
        self.name = name
        self.callers_port = free_port()
        self._health = free_port()
        self._settings = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                callers=self.callers_port,
                health=self._health,
                metrics=free_port(),
                store=store,
                lease_max_ms=lease_max_ms,
                stop_grace_s=STOP_GRACE_SECONDS,
            )
        )
        self.subprocess: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        with self.log.open("ab") as log:
            self.subprocess = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "savorydale",
                "serve-jobs",
                "--config",
                str(self._settings),
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    async def stop(self, number: signal.Signals) -> None:
        """Send a signal and wait for the end."""
        if self.subprocess is None or self.subprocess.returncode is not None:
            return
        self.subprocess.send_signal(number)
        await self.subprocess.wait()

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Return whether the balancer would use this entry."""
        url = f"http://127.0.0.1:{self._health}/-/readiness"
        try:
            async with session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False
