"""Read the settings file of a process that accepts and schedules jobs."""

import pathlib

from savorydale.config.loading import read_toml
from savorydale.config.validation import JsonObject, fill_defaults, find_faults
from savorydale.exceptions import ConfigurationError
from savorydale.messages.schemas import VM_SCHEMA
from savorydale.messages.vm_types import VmConfig


def load_vm_config(path: pathlib.Path) -> VmConfig:
    """Read, check and complete the settings file at ``path``.

    Raises
    ------
    ConfigurationError
        With every fault of the file.
    """
    return parse_vm_config(read_toml(path), str(path))


def parse_vm_config(data: JsonObject, name: str) -> VmConfig:
    """Check and complete the parsed settings file ``name``."""
    faults = find_faults(data, VM_SCHEMA)
    if faults:
        raise ConfigurationError(f"{name} has {len(faults)} faults", faults)
    return fill_defaults(data, VM_SCHEMA)
