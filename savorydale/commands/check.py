"""Validate a settings file without applying it."""

import pathlib
import tomllib

from savorydale.config.loading import parse_config
from savorydale.exceptions import ConfigurationError, OptionError
from savorydale.settings.checks import check_changes, parse_changes
from savorydale.settings.tree import EMPTY_TREE


def check_file(path: pathlib.Path) -> list[str]:
    """Return one line per error in an entry's settings file or a settings tree."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return [f"{path}: cannot be read: {error}"]
    try:
        if "nodes" in document or "remove" in document:
            errors = check_changes(EMPTY_TREE, parse_changes(document))
            return [str(error) for error in errors]
        parse_config(document, str(path))
    except OptionError as error:
        return [str(error)]
    except ConfigurationError as group:
        return [str(error) for error in group.exceptions]
    return []
