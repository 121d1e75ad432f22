"""Addresses that other programs write."""

import ipaddress
import re

from savorydale.exceptions import RowFormatError
from savorydale.utils.json_values import to_text

MAX_PORT = 65_535
MAX_HOST_CHARACTERS = 253
PORT = re.compile(r"[0-9]{1,5}\Z")
HOST_NAME = re.compile(r"(?!-)[A-Za-z0-9-]{1,63}(\.[A-Za-z0-9-]{1,63})*\Z")


def to_address(value: object) -> str:
    """Return ``value`` if it is ``host:port``, else raise `RowFormatError`."""
    address = to_text(value)
    host, _, port = address.rpartition(":")
    if not PORT.match(port) or not 1 <= int(port) <= MAX_PORT:
        raise RowFormatError("the address has no valid port")
    if not _is_host(host):
        raise RowFormatError("the address has no valid host")
    return address


def _is_host(host: str) -> bool:
    if host.startswith("[") and host.endswith("]"):
        return _is_ip_address(host[1:-1], ipaddress.IPv6Address)
    if len(host) > MAX_HOST_CHARACTERS or not HOST_NAME.match(host):
        return False
    last_part = host.rpartition(".")[2]
    return not last_part.isdigit() or _is_ip_address(host, ipaddress.IPv4Address)


def _is_ip_address(
    text: str, parse: type[ipaddress.IPv4Address] | type[ipaddress.IPv6Address]
) -> bool:
    try:
        parse(text)
    except ValueError:
        return False
    return True
