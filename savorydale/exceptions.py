"""Exceptions of the package."""

from collections.abc import Iterable

from savorydale.results import INFO_BY_CODE, ResultCode


class SavorydaleError(Exception):
    """Base class of every error of the package."""

    code = ResultCode.INTERNAL_ERROR


class ResultError(SavorydaleError):
    """An error that is returned to a caller or operator with a result code.

    Parameters
    ----------
    code : ResultCode
        Code of the result.
    detail : str, default=""
        Details of this case, appended to the sentence of the code.
    """

    def __init__(self, code: ResultCode, detail: str = ""):
        self.code = code
        self.detail = detail
        sentence = INFO_BY_CODE[code].sentence
        super().__init__(f"{sentence} {detail}".strip())


class OptionError(SavorydaleError):
    """An invalid option, with its value and a remedy."""

    code = ResultCode.SETTINGS_INVALID

    def __init__(self, option: str, value: object, problem: str, remedy: str):
        self.option = option
        self.value = value
        self.problem = problem
        self.remedy = remedy
        super().__init__(f"{option} = {value!r}: {problem}. {remedy}")


class ConfigurationError(ExceptionGroup):
    """All errors of a settings file or a settings change, found in one pass."""

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
    """The response was lost; the operation may have taken effect."""

    code = ResultCode.STORE_OUTCOME_UNKNOWN


class TransactionConflictError(StoreError):
    """A condition of a transaction did not hold, so nothing was written.

    Parameters
    ----------
    keys : iterable of str
        Keys of the rows whose version was not the expected one.
    """

    code = ResultCode.SETTINGS_CONFLICT

    def __init__(self, keys: Iterable[str]):
        self.keys = tuple(keys)
        super().__init__(f"conditions do not hold for rows {', '.join(self.keys)}")


class HistoryLostError(StoreError):
    """The store no longer has all changes since the requested version."""

    code = ResultCode.STORE_UNREACHABLE


class RowFormatError(SavorydaleError):
    """A stored row or a message cannot be read."""


class LeadershipLostError(SavorydaleError):
    """Another entry has become the lease holder and schedules the jobs."""


class OverloadedError(SavorydaleError):
    """The VM is too slow to schedule jobs for the whole cluster."""


class WorkerError(SavorydaleError):
    """Base class of a worker's failures."""


class WorkerUnreachableError(WorkerError):
    """No connection to the worker could be made; the command did not run."""

    code = ResultCode.WORKER_UNREACHABLE


class WorkerRefusedError(WorkerError):
    """The worker refused the command and did not run it."""

    code = ResultCode.WORKER_REFUSED


class WorkerOutcomeUnknownError(WorkerError):
    """The worker's response was lost; the command may have run."""

    code = ResultCode.ANSWER_LOST


class PeerProtocolError(SavorydaleError):
    """A peer sent a message that cannot be read."""


class InvariantError(SavorydaleError, AssertionError):
    """The program reached a state that must never occur."""
