"""Choose the planned runs that a worker can no longer take since it has shrunk.

A run is planned while its assignment is committed and while its start order waits for
earlier orders, which takes seconds if the store or the worker is slow. The runs that
were planned last are withdrawn first, since they rank behind the others.
"""

from collections.abc import Sequence

from savorydale.orders.interface import Resources
from savorydale.orders.runs import Run


def choose_withdrawals(excess: Resources, planned: Sequence[Run]) -> list[Run]:
    """Return the runs to withdraw so that ``excess`` vanishes, as far as it can.

    ``planned`` are in the order in which they were planned. Runs that reserve nothing
    of what is short stay, unless active runs exceed the capacity by themselves.
    """
    withdrawn: list[Run] = []
    remaining = excess
    for run in reversed(planned):
        if not _relieves(remaining, run.reserved):
            continue
        withdrawn.append(run)
        remaining = _subtract(remaining, run.reserved)
    if any(remaining):
        return list(reversed(planned))
    return withdrawn


def _relieves(excess: Resources, reserved: Resources) -> bool:
    return any(
        over > 0 and amount > 0 for over, amount in zip(excess, reserved, strict=True)
    )


def _subtract(excess: Resources, reserved: Resources) -> Resources:
    return Resources(
        *(max(0, over - amount) for over, amount in zip(excess, reserved, strict=True))
    )
