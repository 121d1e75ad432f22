"""Validate data against a JSON Schema and report every error with its remedy."""

import copy
import difflib
from collections.abc import Iterator, Mapping
from typing import Any

import jsonschema

from savorydale.exceptions import OptionError

JsonObject = dict[str, Any]


def find_errors(
    data: JsonObject, schema: Mapping[str, Any], prefix: str = ""
) -> list[OptionError]:
    """Return every validation error of ``data``.

    Parameters
    ----------
    data : dict
        Parsed TOML or JSON.
    schema : mapping
        JSON Schema.
    prefix : str, default=""
        Prepended to each option's name.

    Returns
    -------
    list of OptionError
        Ordered by option.
    """
    validator = jsonschema.Draft202012Validator(schema)
    errors: list[OptionError] = []
    for error in validator.iter_errors(data):
        errors.extend(_to_option_errors(error, prefix))
    return sorted(errors, key=lambda error: error.option)


def fill_defaults(data: JsonObject, schema: Mapping[str, Any]) -> JsonObject:
    """Return a copy of ``data`` with missing options set to the schema's defaults."""
    filled = copy.deepcopy(data)
    for name, option in schema.get("properties", {}).items():
        if option.get("type") == "object":
            filled[name] = fill_defaults(filled.get(name, {}), option)
            continue
        if "default" in option:
            filled.setdefault(name, copy.deepcopy(option["default"]))
    return filled


def _to_option_errors(
    error: jsonschema.ValidationError, prefix: str
) -> Iterator[OptionError]:
    path = [str(part) for part in error.absolute_path]
    option = ".".join([prefix, *path] if prefix else path) or "(file)"
    description = error.schema.get("description", "")
    if error.validator == "additionalProperties":
        yield from _find_unknown_options(error, prefix, path)
        return
    if error.validator == "required":
        missing = error.message.split("'")[1]
        name = ".".join([prefix, *path, missing] if prefix else [*path, missing])
        yield OptionError(name, None, "is required", f"Set {name}.")
        return
    remedy = _suggest_remedy(error)
    yield OptionError(
        option, error.instance, _describe_problem(error), f"{remedy} {description}"
    )


def _find_unknown_options(
    error: jsonschema.ValidationError, prefix: str, path: list[str]
) -> Iterator[OptionError]:
    known = error.schema.get("properties", {})
    for name in error.instance:
        if name in known:
            continue
        full = ".".join([prefix, *path, name] if prefix else [*path, name])
        close = difflib.get_close_matches(name, known, n=1)
        hint = f"Did you mean {close[0]!r}?" if close else f"Known: {', '.join(known)}."
        yield OptionError(full, error.instance[name], "is not a known option", hint)


def _describe_problem(error: jsonschema.ValidationError) -> str:
    match error.validator:
        case "type":
            return f"is not of type {error.validator_value}"
        case "enum":
            return "is not one of the allowed values"
        case "minimum" | "exclusiveMinimum":
            return "is too small"
        case "maximum" | "exclusiveMaximum":
            return "is too large"
        case "pattern":
            return "has the wrong form"
        case _:
            return error.message


def _suggest_remedy(error: jsonschema.ValidationError) -> str:
    match error.validator:
        case "type":
            return f"Give a value of type {error.validator_value}."
        case "enum":
            allowed = ", ".join(str(value) for value in error.validator_value)
            return f"Use one of: {allowed}."
        case "minimum":
            return f"Use at least {error.validator_value}."
        case "exclusiveMinimum":
            return f"Use more than {error.validator_value}."
        case "maximum" | "exclusiveMaximum":
            return f"Use at most {error.validator_value}."
        case "pattern":
            return f"It must match {error.validator_value}."
        case _:
            return "Correct the value."
