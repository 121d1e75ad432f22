"""Read JSON from other programs, and convert its values to the expected types.

Every error is a `RowFormatError`, so that callers can skip what they cannot read.
"""

import json
import math
from typing import Any

from savorydale.exceptions import RowFormatError

JsonObject = dict[str, Any]


def load_json(raw: bytes | str) -> Any:
    """Parse JSON.

    Raises
    ------
    RowFormatError
        If ``raw`` is not JSON, or is nested too deeply to be parsed.
    """
    try:
        return json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise RowFormatError(f"not valid JSON: {type(error).__name__}") from error


def load_json_object(raw: bytes | str) -> JsonObject:
    """Parse a JSON object.

    Raises
    ------
    RowFormatError
        If ``raw`` is not a JSON object.
    """
    return to_object(load_json(raw))


def to_object(value: object) -> JsonObject:
    """Return ``value`` if it is a JSON object, else raise `RowFormatError`."""
    if not isinstance(value, dict):
        raise RowFormatError(f"{_shorten(value)} is not an object")
    return value


def to_list(value: object) -> list[Any]:
    """Return ``value`` if it is a list, else raise `RowFormatError`."""
    if not isinstance(value, list):
        raise RowFormatError(f"{_shorten(value)} is not a list")
    return value


def to_text(value: object) -> str:
    """Return ``value`` if it is a string, else raise `RowFormatError`."""
    if not isinstance(value, str):
        raise RowFormatError(f"{_shorten(value)} is not a string")
    return value


def to_int(value: object) -> int:
    """Return a finite number without its fraction, else raise `RowFormatError`."""
    return int(to_float(value)) if isinstance(value, float) else int(_to_number(value))


def to_whole_number(value: object, lowest: int, highest: int) -> int:
    """Return a whole number within bounds, else raise `RowFormatError`."""
    number = _to_number(value)
    if not lowest <= number <= highest:
        raise RowFormatError(f"the number is not within {lowest} to {highest}")
    if number != int(number):
        raise RowFormatError("the number is not whole")
    return int(number)


def to_float(value: object) -> float:
    """Return ``value`` if it is a finite number, else raise `RowFormatError`."""
    try:
        number = float(_to_number(value))
    except OverflowError as error:
        raise RowFormatError("the number is too large") from error
    if not math.isfinite(number):
        raise RowFormatError(f"{value} is not a finite number")
    return number


def to_float_within(value: object, lowest: float, highest: float) -> float:
    """Return a number within bounds, else raise `RowFormatError`."""
    number = _to_number(value)
    if not lowest <= number <= highest:
        raise RowFormatError(f"the number is not within {lowest} to {highest}")
    return float(number)


def _to_number(value: object) -> Any:
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise RowFormatError(f"{_shorten(value)} is not a number")
    return value


def _shorten(value: object) -> str:
    """Return a description of ``value`` that is short enough for a log line."""
    return f"value of type {type(value).__name__}"
