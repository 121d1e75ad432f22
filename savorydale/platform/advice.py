"""Query the platform's policy service for the workers that a queue's policy allows."""

import logging

from savorydale.exceptions import RowFormatError
from savorydale.placement.advice import PolicyAnswer, StepName
from savorydale.platform.http import HttpClient, NoReplyError, NotSentError
from savorydale.utils.json_values import JsonObject, to_float_within, to_list, to_text

TIMEOUT_SECONDS = 5.0  # the service handles the requests of one VM sequentially
MAX_VALID_MS = 1_000_000_000_000
MILLISECONDS_PER_SECOND = 1000

log = logging.getLogger(__name__)


class PlatformPolicyService:
    """Queries the service at one address; see `PolicyService`."""

    def __init__(self, http: HttpClient, address: str):
        self._http = http
        self._url = f"http://{address}/-/advise"

    async def query(self, step: StepName, workers: list[str]) -> PolicyAnswer | None:
        """Return the allowed workers with their tickets."""
        body = {"step": str(step), "workers": workers}
        try:
            reply = await self._http.send("POST", self._url, TIMEOUT_SECONDS, body)
            if reply.status == 200 and reply.body is not None:
                return _parse_answer(reply.body)
            reason = f"status {reply.status}"
        except (NotSentError, NoReplyError) as error:
            reason = str(error)
        except (KeyError, ValueError, RowFormatError) as error:
            reason = f"malformed response: {error!r}"
        log.info("policy not answered", extra={"step": str(step), "reason": reason})
        return None


def _parse_answer(body: JsonObject) -> PolicyAnswer:
    """Return the answer, which is incomplete if one of its rows cannot be read."""
    tickets = {}
    is_complete = True
    for row in to_list(body["allowed"]):
        try:
            worker, ticket = to_list(row)
            tickets[to_text(worker)] = to_text(ticket)
        except (ValueError, RowFormatError) as error:
            is_complete = False
            log.info("allowed worker is skipped", extra={"reason": str(error)})
    valid_ms = to_float_within(body["validMs"], 0, MAX_VALID_MS)
    return PolicyAnswer(tickets, valid_ms / MILLISECONDS_PER_SECOND, is_complete)
