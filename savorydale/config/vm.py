"""Load and validate the settings file of a process that accepts and schedules jobs."""

import pathlib

from savorydale.config.loading import read_toml
from savorydale.config.validation import JsonObject, fill_defaults, find_errors
from savorydale.exceptions import ConfigurationError, OptionError
from savorydale.messages.schemas import VM_SCHEMA
from savorydale.messages.vm_types import VmConfig

# Stored progress of one task: its run, failures, worker and checkpoint.
TASK_PROGRESS_BYTES = 64


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
    config: VmConfig = fill_defaults(data, VM_SCHEMA)
    max_tasks = config["store"]["row_bytes"] // TASK_PROGRESS_BYTES
    if "max_tasks_per_step" not in data.get("jobs", {}):
        default = config["jobs"]["max_tasks_per_step"]
        config["jobs"]["max_tasks_per_step"] = min(default, max_tasks)
    if config["jobs"]["max_tasks_per_step"] > max_tasks:
        raise ConfigurationError(
            f"{name} has 1 error",
            [
                OptionError(
                    "jobs.max_tasks_per_step",
                    config["jobs"]["max_tasks_per_step"],
                    "is too large for the rows of the store",
                    f"Use at most {max_tasks}, or increase store.row_bytes.",
                )
            ],
        )
    return config
