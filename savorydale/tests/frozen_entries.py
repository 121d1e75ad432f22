"""Freezes the tasks of single entries, as a stopped process, on virtual time.

While an entry is frozen its tasks take no step; the clock goes on, and the stand-ins
too. Its timers fire and its answers arrive at the thaw, all at once.
"""

import asyncio
import contextvars
import types

STANDIN_PREFIXES = ("TaskWorkerStandin.", "RowStoreStandin.", "InMemoryHttpClient.")


class Gate:
    """Holds back the steps of one entry's tasks while it is frozen."""

    def __init__(self) -> None:
        self._thawed = asyncio.Event()
        self._thawed.set()

    @property
    def is_frozen(self) -> bool:
        return not self._thawed.is_set()

    async def wait(self) -> None:
        await self._thawed.wait()

    def freeze(self) -> None:
        self._thawed.clear()

    def thaw(self) -> None:
        self._thawed.set()


_gate: contextvars.ContextVar[Gate | None] = contextvars.ContextVar("gate")


@types.coroutine
def _gated(coroutine, gate: Gate):
    """Run a coroutine, but take no step of it while the gate is frozen."""
    value, error = None, None
    while True:
        while gate.is_frozen:
            try:
                yield from gate.wait().__await__()
            except asyncio.CancelledError as cancelled:
                error = error or cancelled
        try:
            if error is None:
                waits_for = coroutine.send(value)
            else:
                waits_for = coroutine.throw(error)
        except StopIteration as stop:
            return stop.value
        value, error = None, None
        try:
            value = yield waits_for
        except BaseException as raised:
            error = raised


def _make_task(loop, coroutine, **options):
    gate = _gate.get(None)
    if gate is None or coroutine.__qualname__.startswith(STANDIN_PREFIXES):
        return asyncio.Task(coroutine, loop=loop, **options)
    return asyncio.Task(_gated(coroutine, gate), loop=loop, **options)


def make_freezable(branch) -> dict[str, Gate]:
    """Let all entries that ``branch`` starts from now on be frozen.

    Returns the gate of each entry; a restarted entry gets a new one.
    """
    asyncio.get_running_loop().set_task_factory(_make_task)
    gate_by_entry: dict[str, Gate] = {}
    start_entry = branch.start_entry
    kill_entry = branch.kill_entry

    def start_gated(name):
        gate_by_entry[name] = Gate()
        token = _gate.set(gate_by_entry[name])
        try:
            return start_entry(name)
        finally:
            _gate.reset(token)

    async def thaw_and_kill(name):
        # A killed process takes no further step; here its tasks end by cancellation.
        if name in gate_by_entry:
            gate_by_entry[name].thaw()
        await kill_entry(name)

    branch.start_entry = start_gated
    branch.kill_entry = thaw_and_kill
    return gate_by_entry


async def slow_down(gate: Gate, seconds: float, frozen: float, awake: float) -> None:
    """Freeze an entry for ``frozen`` seconds again and again, ``awake`` between."""
    loop = asyncio.get_running_loop()
    end_at = loop.time() + seconds
    try:
        while loop.time() < end_at:
            gate.freeze()
            await asyncio.sleep(frozen)
            gate.thaw()
            await asyncio.sleep(awake)
    finally:
        gate.thaw()
