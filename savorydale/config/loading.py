"""Load and validate the settings file of an entry."""

import ipaddress
import pathlib
import tomllib

from savorydale.config.validation import JsonObject, fill_defaults, find_errors
from savorydale.exceptions import ConfigurationError, OptionError
from savorydale.messages.entry_types import EntryConfig
from savorydale.messages.schemas import ENTRY_SCHEMA

MIN_LEASE_TO_HEARTBEAT_RATIO = 2


def load_config(path: pathlib.Path) -> EntryConfig:
    """Read and validate the settings file at ``path``, and fill in the defaults.

    Raises
    ------
    ConfigurationError
        With every error of the file.
    """
    return parse_config(read_toml(path), str(path))


def parse_config(data: JsonObject, name: str) -> EntryConfig:
    """Validate the parsed settings file ``name`` and fill in the defaults."""
    errors = find_errors(data, ENTRY_SCHEMA)
    if not errors:
        data = fill_defaults(data, ENTRY_SCHEMA)
        errors = _find_cross_option_errors(data)
    if errors:
        raise ConfigurationError(f"{name} has {len(errors)} errors", errors)
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
        option_error = OptionError(
            str(path),
            None,
            f"cannot be read ({error})",
            "Check its path, permissions and encoding.",
        )
    except tomllib.TOMLDecodeError as error:
        option_error = OptionError(
            str(path), None, f"is not TOML ({error})", "Correct the syntax."
        )
    raise ConfigurationError(f"{path} has 1 error", [option_error])


def _find_cross_option_errors(config: EntryConfig) -> list[OptionError]:
    errors = []
    for section in ("http", "peer"):
        host = config[section]["host"]
        if not _is_ip_address(host):
            errors.append(
                OptionError(
                    f"{section}.host",
                    host,
                    "is not an IP address",
                    "Use an IP address.",
                )
            )
    errors.extend(_find_unprotected_hosts(config))
    lease = config["lease"]["entry_seconds"]
    heartbeat = config["peer"]["heartbeat_seconds"]
    if heartbeat * MIN_LEASE_TO_HEARTBEAT_RATIO > lease:
        errors.append(
            OptionError(
                "peer.heartbeat_seconds",
                heartbeat,
                "is more than half of lease.entry_seconds",
                f"Use at most {lease / MIN_LEASE_TO_HEARTBEAT_RATIO}.",
            )
        )
    if config["http"]["port"] == config["peer"]["port"]:
        errors.append(
            OptionError(
                "peer.port",
                config["peer"]["port"],
                "is the same as http.port",
                "Use another port.",
            )
        )
    return errors


def _find_unprotected_hosts(config: EntryConfig) -> list[OptionError]:
    if "shared_key" in config["security"]:
        return []
    return [
        OptionError(
            f"{section}.host",
            config[section]["host"],
            "is not a loopback address, and no shared key is set",
            "Set security.shared_key.",
        )
        for section in ("http", "peer")
        if _is_ip_address(config[section]["host"])
        and not ipaddress.ip_address(config[section]["host"]).is_loopback
    ]


def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
