"""Exit codes of the command line, and their mapping from result codes."""

import enum

from savorydale.results import ResultCode


class ExitCode(enum.IntEnum):
    """Exit codes of the commands."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNREACHABLE = 5


CONFLICT_CODES = (ResultCode.SETTINGS_CONFLICT,)
UNREACHABLE_CODES = (ResultCode.STORE_UNREACHABLE, ResultCode.STORE_OUTCOME_UNKNOWN)


def exit_code_of(code: int) -> ExitCode:
    """Return the exit code for a result code."""
    if code == ResultCode.OK:
        return ExitCode.OK
    if code in CONFLICT_CODES:
        return ExitCode.CONFLICT
    if code in UNREACHABLE_CODES:
        return ExitCode.UNREACHABLE
    return ExitCode.REFUSED
