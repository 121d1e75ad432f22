"""Exceptions raised by savorydale."""

from collections.abc import Iterable

from savorydale.results import INFO_BY_CODE, ResultCode


class SavorydaleError(Exception):
    """Base class of every error of the package."""

    code = ResultCode.INTERNAL_ERROR


class ResultError(SavorydaleError):
    """An error that is told to a caller or operator with a result code.

    Parameters
    ----------
    code : ResultCode
        Numbered result.
    detail : str, default=""
        What is particular to this case, appended to the code's sentence.
    """

    def __init__(self, code: ResultCode, detail: str = ""):
        self.code = code
        self.detail = detail
        sentence = INFO_BY_CODE[code].sentence
        super().__init__(f"{sentence} {detail}".strip())


class OptionError(SavorydaleError):
    """A fault of one option, naming the option, its value and the remedy."""

    code = ResultCode.SETTINGS_INVALID

    def __init__(self, option: str, value: object, fault: str, remedy: str):
        self.option = option
        self.value = value
        self.fault = fault
        self.remedy = remedy
        super().__init__(f"{option} = {value!r}: {fault}. {remedy}")


class ConfigurationError(ExceptionGroup):
    """All faults of a settings file or a settings change, found in one pass."""

    code = ResultCode.SETTINGS_INVALID

    def derive(self, excs: Iterable[Exception]) -> "ConfigurationError":
        """Return a group of the same kind over ``excs``."""
        return ConfigurationError(self.message, list(excs))


class StoreError(SavorydaleError):
    """Base class of the platform's failures."""


class StoreUnreachableError(StoreError):
    """The platform could not be reached; the operation did not take effect."""

    code = ResultCode.STORE_UNREACHABLE


class StoreOutcomeUnknownError(StoreError):
    """The answer was lost; the operation may have taken effect."""

    code = ResultCode.STORE_OUTCOME_UNKNOWN


class TransactionConflictError(StoreError):
    """A condition of a transaction did not hold, so nothing was written.

    Parameters
    ----------
    keys : iterable of str
        Rows whose version was not the expected one.
    """

    code = ResultCode.SETTINGS_CONFLICT

    def __init__(self, keys: Iterable[str]):
        self.keys = tuple(keys)
        super().__init__(f"conditions do not hold for rows {', '.join(self.keys)}")


class HistoryLostError(StoreError):
    """The store no longer knows all changes since the version asked for."""

    code = ResultCode.STORE_UNREACHABLE


class RowFormatError(SavorydaleError):
    """A stored row or a message cannot be read."""


class LeadershipLostError(SavorydaleError):
    """Another entry has taken over the scheduling of jobs."""


class OverloadedError(SavorydaleError):
    """The VM is too slow to schedule for all others."""


class WorkerError(SavorydaleError):
    """Base class of a worker's failures."""


class WorkerUnreachableError(WorkerError):
    """No connection to the worker could be made; the command did not run."""

    code = ResultCode.WORKER_UNREACHABLE


class WorkerRefusedError(WorkerError):
    """The worker says that it did not run the command."""

    code = ResultCode.WORKER_REFUSED


class WorkerOutcomeUnknownError(WorkerError):
    """The worker's answer was lost; the command may have run."""

    code = ResultCode.ANSWER_LOST


class PeerProtocolError(SavorydaleError):
    """A peer sent a message that cannot be read."""


class InvariantError(SavorydaleError, AssertionError):
    """The program reached a state that must never occur."""
