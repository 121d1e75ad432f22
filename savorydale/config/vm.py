"""Load and validate the settings file of a process that accepts and schedules jobs."""

import pathlib

from savorydale.config.loading import read_toml
from savorydale.config.validation import JsonObject, fill_defaults, find_errors
from savorydale.exceptions import ConfigurationError
from savorydale.messages.schemas import VM_SCHEMA
from savorydale.messages.vm_types import VmConfig


def load_vm_config(path: pathlib.Path) -> VmConfig:
    """Read and validate the settings file at ``path``, and fill in the defaults.

    Raises
    ------
    ConfigurationError
        With every error of the file.
    """
    return parse_vm_config(read_toml(path), str(path))


def parse_vm_config(data: JsonObject, name: str) -> VmConfig:
    """Validate the parsed settings file ``name`` and fill in the defaults."""
    errors = find_errors(data, VM_SCHEMA)
    if errors:
        raise ConfigurationError(f"{name} has {len(errors)} errors", errors)
    return fill_defaults(data, VM_SCHEMA)
