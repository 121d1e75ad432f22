"""Starts and stops the processes of a small deployment on loopback."""

import contextlib
import json
import pathlib
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import urllib3

JsonObject = dict[str, Any]

ROOT = pathlib.Path(__file__).parent.parent
BINARY = ROOT / "dist" / "savorydale"
START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 15.0
HTTP = urllib3.PoolManager(retries=False, timeout=10.0, maxsize=32)


class Process(NamedTuple):
    """A process and the port of its HTTP server."""

    name: str
    port: int
    popen: subprocess.Popen[bytes]

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f"127.0.0.1:{self.port}"


class Deployment:
    """Processes of one deployment; their output goes to log files in ``folder``."""

    def __init__(self, folder: pathlib.Path):
        self._folder = folder
        self._processes: list[Process] = []
        self.program = program()

    def start(self, name: str, port: int, command: list[str]) -> Process:
        """Start a process."""
        with (self._folder / f"{name}.log").open("ab") as output:
            popen = subprocess.Popen(command, stdout=output, stderr=output, cwd=ROOT)
        process = Process(name, port, popen)
        self._processes.append(process)
        return process

    def start_standin(self, module: str, name: str, *options: str) -> Process:
        """Start a stand-in on a free port."""
        port = free_port()
        command = [sys.executable, "-m", module, "--port", str(port), *options]
        process = self.start(name, port, command)
        wait_until(f"{name} answers", lambda: is_listening(port))
        return process

    def start_entry(
        self, name: str, zone: str, platform: Process, extra_settings: str = ""
    ) -> Process:
        """Write an entry's settings file and start it."""
        port = free_port()
        text = f"""
[entry]
name = "{name}"
zone = "{zone}"
[http]
port = {port}
lame_duck_seconds = 0.3
[peer]
port = {free_port()}
[platform]
url = "http://{platform.address}"
{extra_settings}
"""
        path = self._folder / f"{name}.toml"
        path.write_text(text)
        return self.start(name, port, [*self.program, "serve", "--config", str(path)])

    def read_log(self, name: str) -> str:
        """Return the output of a process."""
        return (self._folder / f"{name}.log").read_text(errors="replace")

    def stop_all(self) -> None:
        """Stop every process of the deployment."""
        for process in self._processes:
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.terminate()
        for process in self._processes:
            try:
                process.popen.wait(STOP_TIMEOUT_SECONDS)
            except subprocess.TimeoutExpired:
                process.popen.kill()


@contextlib.contextmanager
def open_deployment(folder: pathlib.Path) -> Iterator[Deployment]:
    """Yield an empty deployment and stop its processes afterwards."""
    deployment = Deployment(folder)
    try:
        yield deployment
    finally:
        deployment.stop_all()


def program() -> list[str]:
    """Return the command that runs savorydale, the built binary if there is one."""
    if BINARY.exists():
        return [str(BINARY)]
    return [sys.executable, "-m", "savorydale"]


def free_port() -> int:
    """Return a loopback port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def is_listening(port: int) -> bool:
    """Return whether something accepts connections on a loopback port."""
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) == 0


def wait_until(
    description: str,
    condition: Callable[[], bool],
    timeout_seconds: float = START_TIMEOUT_SECONDS,
) -> float:
    """Wait until ``condition`` is true and return the elapsed seconds."""
    started_at = time.monotonic()
    while not condition():
        if time.monotonic() - started_at > timeout_seconds:
            raise TimeoutError(
                f"timed out after {timeout_seconds:g} s waiting until {description}"
            )
        time.sleep(0.05)
    return time.monotonic() - started_at


def get(process: Process, path: str) -> JsonObject:
    """Send a GET request and return the JSON of the response."""
    return json.loads(HTTP.request("GET", f"http://{process.address}{path}").data)


def post(process: Process, path: str, body: JsonObject) -> JsonObject:
    """Send a POST request with JSON and return the JSON of the response."""
    data = json.dumps(body).encode()
    url = f"http://{process.address}{path}"
    return json.loads(HTTP.request("POST", url, body=data).data)


def is_ready(entry: Process) -> bool:
    """Return whether the health check of an entry succeeds."""
    try:
        response = HTTP.request("GET", f"http://{entry.address}/health")
    except urllib3.exceptions.HTTPError:
        return False
    return response.status == 200
