"""Client for the operator pages of an entry."""

import json
import os
from typing import Any, NamedTuple
from urllib.parse import urlencode

import urllib3

from savorydale.web.access import KEY_HEADER

JsonObject = dict[str, Any]

KEY_VARIABLE = "SAVORYDALE_KEY"
TIMEOUT_SECONDS = 60.0


class OperatorResponse(NamedTuple):
    """Result code and body of a response of an operator page."""

    code: int
    body: JsonObject


class EntryUnreachableError(Exception):
    """The entry did not respond, or its response is malformed."""


class OperatorRefusedError(Exception):
    """An operator page refused a request that the command depends on.

    Parameters
    ----------
    response : OperatorResponse
        The page's response.
    """

    def __init__(self, response: OperatorResponse):
        self.response = response
        super().__init__(str(response.body.get("message")))


class OperatorClient:
    """Sends requests to the operator pages of one entry.

    Parameters
    ----------
    address : str
        ``host:port`` of the entry.
    """

    def __init__(self, address: str):
        self._base_url = f"http://{address}/operator"
        self._pool = urllib3.PoolManager(retries=False, timeout=TIMEOUT_SECONDS)

    def get(self, page: str, **query: str | None) -> OperatorResponse:
        """Send a GET request; query parameters that are ``None`` are left out."""
        given_query = {
            name: value for name, value in query.items() if value is not None
        }
        suffix = f"?{urlencode(given_query)}" if given_query else ""
        return self._call("GET", f"{page}{suffix}", None)

    def post(self, page: str, body: JsonObject) -> OperatorResponse:
        """Send a POST request with a JSON body."""
        return self._call("POST", page, body)

    def _call(
        self, method: str, page: str, body: JsonObject | None
    ) -> OperatorResponse:
        headers = {}
        if KEY_VARIABLE in os.environ:
            headers[KEY_HEADER] = os.environ[KEY_VARIABLE]
        data = None if body is None else json.dumps(body).encode()
        url = f"{self._base_url}/{page}"
        try:
            response = self._pool.request(method, url, body=data, headers=headers)
            response_body = json.loads(response.data)
            return OperatorResponse(response_body.pop("code"), response_body)
        except (urllib3.exceptions.HTTPError, ValueError, KeyError) as error:
            raise EntryUnreachableError(f"{url}: {error}") from error
