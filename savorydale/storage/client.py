"""HTTP client of the platform."""

import asyncio
import concurrent.futures
import contextlib
import json
import logging
from collections.abc import Iterable, Iterator, Mapping

import urllib3

from savorydale.exceptions import (
    RowFormatError,
    StoreOutcomeUnknownError,
    StoreUnreachableError,
    TransactionConflictError,
)
from savorydale.storage.interface import (
    JsonObject,
    Row,
    Transaction,
    VmStatus,
)
from savorydale.storage.vm_list import decode_vms
from savorydale.utils.json_values import load_json_object, to_list

MAX_CONNECTIONS = 8
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503

log = logging.getLogger(__name__)


class HttpPlatform:
    """A `Platform` that speaks JSON over HTTP.

    Parameters
    ----------
    url : str
        Base URL.
    timeout_seconds : float
        Timeout of one call.
    executor : concurrent.futures.Executor
        Runs the blocking calls.
    """

    def __init__(
        self,
        url: str,
        timeout_seconds: float,
        executor: concurrent.futures.Executor,
    ):
        self._url = url.rstrip("/")
        self._executor = executor
        self._last_reasons: list[str] = []
        self._pool = urllib3.PoolManager(
            maxsize=MAX_CONNECTIONS,
            retries=False,
            timeout=urllib3.Timeout(total=timeout_seconds),
        )

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    async def transact(self, transaction: Transaction) -> int:
        """Apply ``transaction`` and return the version that it wrote."""
        body = {
            "conditions": [
                {"key": item.key, "version": item.version}
                for item in transaction.conditions
            ],
            "writes": [
                {"key": item.key, "value": item.value, "ttl_seconds": item.ttl_seconds}
                for item in transaction.writes
            ],
        }
        response_body = await self._call("POST", "/table/transact", body)
        return response_body["version"]

    async def read(
        self, keys: Iterable[str], newer_than: Mapping[str, int] | None = None
    ) -> dict[str, Row]:
        """Return the rows that exist and are newer than the given versions."""
        body = {"keys": list(keys), "newer_than": dict(newer_than or {})}
        response_body = await self._read("POST", "/table/read", body)
        return _to_rows(response_body["rows"])

    async def scan(self, prefix: str) -> dict[str, Row]:
        """Return all rows whose key starts with ``prefix``."""
        response_body = await self._read("POST", "/table/scan", {"prefix": prefix})
        return _to_rows(response_body["rows"])

    async def list_vms(self) -> list[VmStatus]:
        """Return the list of VMs, which may be out of date."""
        response_body = await self._read("GET", "/vms", None)
        try:
            found = decode_vms(to_list(response_body.get("vms")))
        except RowFormatError as error:
            raise StoreUnreachableError(f"malformed list of VMs: {error}") from error
        self._log_skipped_vms(found.reasons)
        return found.vms

    def _log_skipped_vms(self, reasons: list[str]) -> None:
        """Log why VMs are skipped, unless the last list had the same reasons."""
        if reasons and reasons != self._last_reasons:
            extra = {"vms": len(reasons), "reason": reasons[0]}
            log.warning("VMs are skipped", extra=extra)
        self._last_reasons = reasons

    async def _read(
        self, method: str, path: str, body: JsonObject | None
    ) -> JsonObject:
        try:
            return await self._call(method, path, body)
        except StoreOutcomeUnknownError as error:
            raise StoreUnreachableError(str(error)) from error

    async def _call(
        self, method: str, path: str, body: JsonObject | None
    ) -> JsonObject:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(
            self._executor, self._call_blocking, method, path, body
        )

    def _call_blocking(
        self, method: str, path: str, body: JsonObject | None
    ) -> JsonObject:
        data = None if body is None else json.dumps(body).encode()
        try:
            response = self._pool.request(method, self._url + path, body=data)
        except urllib3.exceptions.NewConnectionError as error:
            raise StoreUnreachableError(str(error)) from error
        except urllib3.exceptions.HTTPError as error:
            raise StoreOutcomeUnknownError(str(error)) from error
        if response.status == HTTP_UNAVAILABLE:
            raise StoreUnreachableError("the platform is out of service")
        try:
            response_body = load_json_object(response.data)
        except RowFormatError as error:
            raise StoreOutcomeUnknownError("the answer is no JSON object") from error
        if response.status == HTTP_CONFLICT:
            raise TransactionConflictError(response_body["keys"])
        if response.status >= 300:
            raise StoreOutcomeUnknownError(f"status {response.status}")
        return response_body


@contextlib.contextmanager
def open_platform(url: str, timeout_seconds: float) -> Iterator[HttpPlatform]:
    """Yield a connected platform client and close it afterwards."""
    with concurrent.futures.ThreadPoolExecutor(
        MAX_CONNECTIONS, thread_name_prefix="platform"
    ) as executor:
        platform = HttpPlatform(url, timeout_seconds, executor)
        try:
            yield platform
        finally:
            platform.close()


def _to_rows(rows: Mapping[str, JsonObject]) -> dict[str, Row]:
    return {key: Row(item["value"], item["version"]) for key, item in rows.items()}
