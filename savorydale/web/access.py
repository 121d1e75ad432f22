"""Authenticate requests to an entry by a shared key."""

import hmac
import ipaddress
from collections.abc import Mapping

KEY_HEADER = "Savorydale-Key"


class Authenticator:
    """Checks the shared key; without one, accepts only loopback clients.

    Parameters
    ----------
    shared_key : str or None
        Key from the configuration.
    """

    def __init__(self, shared_key: str | None):
        self._shared_key = shared_key

    def is_allowed(self, remote_address: str, presented_key: str | None) -> bool:
        """Return whether a request is allowed."""
        if self._shared_key is None:
            return _is_loopback(remote_address)
        presented = (presented_key or "").encode()
        return hmac.compare_digest(presented, self._shared_key.encode())

    def is_allowed_wsgi(self, environ: Mapping[str, str]) -> bool:
        """Return whether a WSGI request is allowed."""
        return self.is_allowed(
            environ.get("REMOTE_ADDR", ""), environ.get("HTTP_SAVORYDALE_KEY")
        )


def _is_loopback(address: str) -> bool:
    try:
        return ipaddress.ip_address(address).is_loopback
    except ValueError:
        return False
