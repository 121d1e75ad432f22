"""Run code on the event loop from the threads of the HTTP server."""

import asyncio
import concurrent.futures
from collections.abc import Callable, Coroutine
from typing import Any, Generic, TypeVar

from savorydale.exceptions import ResultError
from savorydale.results import ResultCode

Result = TypeVar("Result")

OPERATOR_TIMEOUT_SECONDS = 60.0
CONDITION_POLL_SECONDS = 0.05
CANCEL_TIMEOUT_SECONDS = 5.0


class LoopBridge:
    """Runs coroutines on the entry's event loop and waits for them in a thread.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop that owns all state.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop

    def time(self) -> float:
        """Return the time on the loop's clock in seconds."""
        return self._loop.time()

    def post(self, function: Callable[..., object], *arguments: object) -> None:
        """Call ``function`` on the loop without waiting for it."""
        self._loop.call_soon_threadsafe(function, *arguments)

    def call(
        self, function: Callable[..., Result], *arguments: object, timeout: float
    ) -> Result:
        """Call ``function`` on the loop and return its result."""
        future: concurrent.futures.Future[Result] = concurrent.futures.Future()
        self._loop.call_soon_threadsafe(_resolve, future, function, arguments)
        return _wait(future, timeout)

    def run(
        self,
        coroutine: Coroutine[Any, Any, Result],
        timeout: float = OPERATOR_TIMEOUT_SECONDS,
    ) -> Result:
        """Run the coroutine on the loop and return its result.

        Raises
        ------
        ResultError
            If the coroutine was cancelled because it had not finished in ``timeout``
            seconds, or if the loop does not respond.
        """
        loop_task = self._start(coroutine)
        try:
            return loop_task.future.result(timeout)
        except concurrent.futures.TimeoutError:
            result = self._cancel(loop_task)
        except concurrent.futures.CancelledError:
            result = None
        if result is None:
            raise ResultError(ResultCode.INTERNAL_ERROR, "The entry is busy.")
        return result

    def run_while(
        self,
        coroutine: Coroutine[Any, Any, Result],
        condition: Callable[[], bool],
        timeout: float,
    ) -> Result | None:
        """Run the coroutine on the loop; return its result, or None if cancelled.

        It is cancelled when ``condition`` is false, or after ``timeout`` seconds.
        """
        loop_task = self._start(coroutine)
        deadline = self.time() + timeout
        while condition() and self.time() < deadline:
            try:
                return loop_task.future.result(CONDITION_POLL_SECONDS)
            except concurrent.futures.TimeoutError:
                continue
            except concurrent.futures.CancelledError:
                return None
        return self._cancel(loop_task)

    def _start(self, coroutine: Coroutine[Any, Any, Result]) -> "LoopTask[Result]":
        loop_task: LoopTask[Result] = LoopTask()
        self._loop.call_soon_threadsafe(loop_task.start, coroutine)
        return loop_task

    def _cancel(self, loop_task: "LoopTask[Result]") -> Result | None:
        """Cancel on the loop, so that a result which already exists is not lost."""
        self._loop.call_soon_threadsafe(loop_task.cancel)
        try:
            return loop_task.future.result(CANCEL_TIMEOUT_SECONDS)
        except (concurrent.futures.TimeoutError, concurrent.futures.CancelledError):
            return None


class LoopTask(Generic[Result]):
    """A coroutine that runs on the loop, with a future for the waiting thread."""

    def __init__(self) -> None:
        self.future: concurrent.futures.Future[Result] = concurrent.futures.Future()
        self._task: asyncio.Task[Result] | None = None

    def start(self, coroutine: Coroutine[Any, Any, Result]) -> None:
        """Run the coroutine; call this on the loop."""
        self._task = asyncio.get_running_loop().create_task(coroutine)
        self._task.add_done_callback(self._copy_result)

    def cancel(self) -> None:
        """Cancel the coroutine unless it has finished; call this on the loop."""
        if self._task is not None:
            self._task.cancel()

    def _copy_result(self, task: asyncio.Task[Result]) -> None:
        if task.cancelled():
            self.future.cancel()
            self.future.set_running_or_notify_cancel()
            return
        error = task.exception()
        if error is not None:
            self.future.set_exception(error)
        else:
            self.future.set_result(task.result())


def _resolve(
    future: concurrent.futures.Future[Result],
    function: Callable[..., Result],
    arguments: tuple[object, ...],
) -> None:
    if not future.set_running_or_notify_cancel():
        return
    try:
        future.set_result(function(*arguments))
    except BaseException as error:
        future.set_exception(error)
        raise


def _wait(future: concurrent.futures.Future[Result], timeout: float) -> Result:
    try:
        return future.result(timeout)
    except concurrent.futures.TimeoutError:
        if not future.cancel():
            return future.result()
    raise ResultError(ResultCode.INTERNAL_ERROR, "The entry is busy.") from None
