"""Read an entry's settings file."""

import ipaddress
import pathlib
import tomllib

from savorydale.config.validation import JsonObject, fill_defaults, find_faults
from savorydale.exceptions import ConfigurationError, OptionError
from savorydale.messages.entry_types import EntryConfig
from savorydale.messages.schemas import ENTRY_SCHEMA

LEASE_TO_HEARTBEAT_RATIO = 2


def load_config(path: pathlib.Path) -> EntryConfig:
    """Read, check and complete the settings file at ``path``.

    Raises
    ------
    ConfigurationError
        With every fault of the file.
    """
    return parse_config(read_toml(path), str(path))


def parse_config(data: JsonObject, name: str) -> EntryConfig:
    """Check and complete the parsed settings file ``name``."""
    faults = find_faults(data, ENTRY_SCHEMA)
    if not faults:
        data = fill_defaults(data, ENTRY_SCHEMA)
        faults = _find_cross_faults(data)
    if faults:
        raise ConfigurationError(f"{name} has {len(faults)} faults", faults)
    return data


def read_toml(path: pathlib.Path) -> JsonObject:
    """Return the parsed TOML file at ``path``.

    Raises
    ------
    ConfigurationError
        If it cannot be read or is not TOML.
    """
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        fault = OptionError(str(path), None, f"cannot be read ({error})", "Check it.")
    except tomllib.TOMLDecodeError as error:
        fault = OptionError(str(path), None, f"is not TOML ({error})", "Correct it.")
    raise ConfigurationError(f"{path} has 1 fault", [fault])


def _find_cross_faults(config: EntryConfig) -> list[OptionError]:
    faults = []
    for section in ("http", "peer"):
        host = config[section]["host"]
        if not _is_ip_number(host):
            faults.append(
                OptionError(
                    f"{section}.host", host, "is not an IP number", "Give an IP number."
                )
            )
    faults.extend(_find_open_hosts(config))
    lease = config["lease"]["entry_seconds"]
    heartbeat = config["peer"]["heartbeat_seconds"]
    if heartbeat * LEASE_TO_HEARTBEAT_RATIO > lease:
        faults.append(
            OptionError(
                "peer.heartbeat_seconds",
                heartbeat,
                "is over half of lease.entry_seconds",
                f"Use at most {lease / LEASE_TO_HEARTBEAT_RATIO}.",
            )
        )
    if config["http"]["port"] == config["peer"]["port"]:
        faults.append(
            OptionError(
                "peer.port",
                config["peer"]["port"],
                "is the same as http.port",
                "Use another port.",
            )
        )
    return faults


def _find_open_hosts(config: EntryConfig) -> list[OptionError]:
    if "shared_key" in config["security"]:
        return []
    return [
        OptionError(
            f"{section}.host",
            config[section]["host"],
            "is not loopback, and no shared key is set",
            "Set security.shared_key.",
        )
        for section in ("http", "peer")
        if _is_ip_number(config[section]["host"])
        and not ipaddress.ip_address(config[section]["host"]).is_loopback
    ]


def _is_ip_number(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
