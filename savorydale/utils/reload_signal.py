"""Handles SIGHUP from the first statement of a process until it has exited.

By default, the signal ends a process. It may arrive at any time, also while the process
starts or stops, so the command line calls `hold_reload_signal` before it imports
anything else. The handler stays in place after the event loop was closed, and the
signal is ignored once the interpreter exits.
"""

import atexit
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:  # importing these would delay the first call
    import asyncio
    from collections.abc import Callable
    from types import FrameType

_has_arrived = False


def hold_reload_signal() -> None:
    """Record SIGHUP until `handle_reload_signal` is called."""
    signal.signal(signal.SIGHUP, _record)
    # The interpreter restores the default action of handlers as it exits.
    atexit.register(signal.signal, signal.SIGHUP, signal.SIG_IGN)


def handle_reload_signal(
    loop: "asyncio.AbstractEventLoop", reload: "Callable[[], None]"
) -> None:
    """Call ``reload`` in ``loop`` for each SIGHUP, also for one on record."""

    def schedule(signal_number: int, frame: "FrameType | None") -> None:
        if not loop.is_closed():
            loop.call_soon_threadsafe(reload)

    signal.signal(signal.SIGHUP, schedule)
    if _has_arrived:
        loop.call_soon(reload)


def _record(signal_number: int, frame: "FrameType | None") -> None:
    global _has_arrived
    _has_arrived = True
