"""A process survives SIGHUP from its first statement until it has exited.

Guarded failure: the signal ended a process whose imports were not finished, or whose
event loop was already closed.
"""

import asyncio
import contextlib
import os
import signal
import time

from standins.entry_process import EntryProcess

NO_STORE = "127.0.0.1:9"
LEASE_MAX_MS = 6_000
MAX_UNPROTECTED_SECONDS = 2.0  # start of the interpreter, on a busy machine
SIGNAL_INTERVAL_SECONDS = 0.01


def test_sighup_ends_no_process_while_it_starts_and_stops(tmp_path):
    async def run():
        entry = EntryProcess("e0", NO_STORE, tmp_path, LEASE_MAX_MS)
        await entry.start()
        started_at = time.monotonic()
        while not entry.handles(signal.SIGHUP):
            assert time.monotonic() - started_at < MAX_UNPROTECTED_SECONDS
            await asyncio.sleep(0.001)
        send = asyncio.create_task(send_repeatedly(entry))
        while "entry serves" not in read_log(tmp_path):
            assert entry.subprocess.returncode is None
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.2)
        await entry.stop(signal.SIGTERM)
        send.cancel()
        return entry.subprocess.returncode

    async def send_repeatedly(entry):
        # `Process.send_signal` polls the child first. If that reaps it, its exit status
        # is lost to asyncio, which then reports 255.
        while entry.subprocess.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(entry.subprocess.pid, signal.SIGHUP)
            await asyncio.sleep(SIGNAL_INTERVAL_SECONDS)

    assert asyncio.run(run()) == 0
    assert "settings file read again" in read_log(tmp_path)


def read_log(folder):
    path = folder / "e0.log"
    return path.read_text() if path.exists() else ""
