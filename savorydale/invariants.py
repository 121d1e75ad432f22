"""Invariant checks, made at every state change, also in production."""

from savorydale.exceptions import InvariantError


def check(condition: bool, message: str, *values: object) -> None:
    """Raise an error unless the invariant holds.

    Parameters
    ----------
    condition : bool
        The invariant.
    message : str
        ``%``-style description of the state, formatted with ``values``.

    Raises
    ------
    InvariantError
        If ``condition`` is false.
    """
    if not condition:
        raise InvariantError(message % values)
