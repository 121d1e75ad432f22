"""Numeric result codes that are returned to callers and operators."""

import enum
from typing import NamedTuple

RESULT_HEADER = "Savorydale-Result"


class ResultCode(enum.IntEnum):
    """Result of a request to an entry.

    Codes from 2000 to 2999 mean that the request did not run, and codes from 3000 to
    3999 that it is unknown whether it ran.
    """

    OK = 0
    BODY_TOO_LARGE = 1001
    MALFORMED_BODY = 1002
    UNKNOWN_SERVICE = 1003
    UNKNOWN_JOB = 1004
    UNAUTHENTICATED = 1005
    INVALID_HEADER = 1006
    UNKNOWN_PAGE = 1007
    METHOD_NOT_ALLOWED = 1008
    INTERNAL_ERROR = 1009
    KEY_REUSED = 1010
    QUEUE_FULL = 2001
    DEADLINE_TOO_SHORT = 2002
    DEADLINE_PASSED = 2003
    NO_WORKER = 2004
    ENTRY_DRAINING = 2005
    WORKER_REFUSED = 2006
    WORKER_UNREACHABLE = 2007
    KEY_STORE_UNREACHABLE = 2008
    ENTRY_STARTING = 2009
    CALLER_LEFT = 2010
    ANSWER_TIMEOUT = 3001
    ANSWER_LOST = 3002
    ANSWER_INCOMPLETE = 3003
    ANSWER_FOREIGN = 3004
    KEY_IN_PROGRESS = 3005
    SETTINGS_INVALID = 4001
    SETTINGS_CONFLICT = 4002
    SETTINGS_LOCKED = 4003
    SETTINGS_IN_USE = 4004
    SETTINGS_UNKNOWN_PATH = 4005
    SETTINGS_NOT_IN_FORCE = 4006
    SETTINGS_UNKNOWN_VERSION = 4007
    STORE_UNREACHABLE = 5001
    STORE_OUTCOME_UNKNOWN = 5002


class ResultInfo(NamedTuple):
    """HTTP status and sentence of a result code."""

    status: int
    sentence: str


INFO_BY_CODE: dict[ResultCode, ResultInfo] = {
    ResultCode.OK: ResultInfo(200, "Done."),
    ResultCode.BODY_TOO_LARGE: ResultInfo(413, "The body is over the size limit."),
    ResultCode.MALFORMED_BODY: ResultInfo(400, "The body is not valid JSON."),
    ResultCode.UNKNOWN_SERVICE: ResultInfo(404, "No such service in the settings."),
    ResultCode.UNKNOWN_JOB: ResultInfo(404, "No such job in the settings."),
    ResultCode.UNAUTHENTICATED: ResultInfo(401, "The shared key is missing or wrong."),
    ResultCode.INVALID_HEADER: ResultInfo(400, "A request header is not valid."),
    ResultCode.UNKNOWN_PAGE: ResultInfo(404, "No such page."),
    ResultCode.METHOD_NOT_ALLOWED: ResultInfo(405, "The page has no such method."),
    ResultCode.INTERNAL_ERROR: ResultInfo(
        500, "The entry failed; whether the request ran is not known."
    ),
    ResultCode.KEY_REUSED: ResultInfo(
        422, "Not run: the idempotency key belongs to another request."
    ),
    ResultCode.QUEUE_FULL: ResultInfo(503, "Not run: the queue is full."),
    ResultCode.DEADLINE_TOO_SHORT: ResultInfo(
        503, "Not run: the deadline would pass before a slot is free."
    ),
    ResultCode.DEADLINE_PASSED: ResultInfo(
        504, "Not run: the deadline passed while waiting for a slot."
    ),
    ResultCode.NO_WORKER: ResultInfo(503, "Not run: no worker runs the service."),
    ResultCode.ENTRY_DRAINING: ResultInfo(503, "Not run: the entry is stopping."),
    ResultCode.WORKER_REFUSED: ResultInfo(503, "Not run: the worker refused."),
    ResultCode.WORKER_UNREACHABLE: ResultInfo(
        503, "Not run: no connection to a worker could be made."
    ),
    ResultCode.KEY_STORE_UNREACHABLE: ResultInfo(
        503, "Not run: idempotency keys cannot be kept while the table is out."
    ),
    ResultCode.ENTRY_STARTING: ResultInfo(503, "Not run: the entry is starting."),
    ResultCode.CALLER_LEFT: ResultInfo(
        499, "Not run: the caller closed the connection while the call waited."
    ),
    ResultCode.ANSWER_TIMEOUT: ResultInfo(
        504, "Outcome unknown: the worker did not answer before the deadline."
    ),
    ResultCode.ANSWER_LOST: ResultInfo(
        502, "Outcome unknown: the connection to the worker was lost."
    ),
    ResultCode.ANSWER_INCOMPLETE: ResultInfo(
        502, "Outcome unknown: the worker's answer was not whole."
    ),
    ResultCode.ANSWER_FOREIGN: ResultInfo(
        502, "Outcome unknown: the worker answered another request."
    ),
    ResultCode.KEY_IN_PROGRESS: ResultInfo(
        409, "Outcome unknown: a request with this idempotency key was sent before."
    ),
    ResultCode.SETTINGS_INVALID: ResultInfo(422, "The settings have faults."),
    ResultCode.SETTINGS_CONFLICT: ResultInfo(
        409, "The settings have changed since the version that was read."
    ),
    ResultCode.SETTINGS_LOCKED: ResultInfo(
        422, "A level above has locked a value that is set here."
    ),
    ResultCode.SETTINGS_IN_USE: ResultInfo(
        409, "The node runs work; drain it or keep it."
    ),
    ResultCode.SETTINGS_UNKNOWN_PATH: ResultInfo(404, "No such path in the settings."),
    ResultCode.SETTINGS_NOT_IN_FORCE: ResultInfo(
        504, "Accepted, but not yet reported in force by every entry."
    ),
    ResultCode.SETTINGS_UNKNOWN_VERSION: ResultInfo(
        404, "No such version to go back to."
    ),
    ResultCode.STORE_UNREACHABLE: ResultInfo(503, "The table service is unreachable."),
    ResultCode.STORE_OUTCOME_UNKNOWN: ResultInfo(
        502, "The table service did not say whether the change took effect."
    ),
}

NOT_RUN_CODES = range(2000, 3000)
OUTCOME_UNKNOWN_CODES = range(3000, 4000)
