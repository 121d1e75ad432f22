"""Queue of the calls that wait for a slot."""

import asyncio
from collections.abc import Iterator
from typing import NamedTuple

from savorydale.routing.calls import Call, Step


class Waiter(NamedTuple):
    """A waiting call, and the future that receives its next step."""

    call: Call
    tried: frozenset[str]
    attempt: int
    step: asyncio.Future[Step]


class WaitingCalls:
    """Calls that wait for a slot, oldest first within a service."""

    def __init__(self) -> None:
        self._waiters_by_service: dict[str, list[Waiter]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def count_of(self, service: str) -> int:
        """Return how many calls of ``service`` wait."""
        return len(self._waiters_by_service.get(service, []))

    def services(self) -> list[str]:
        """Return the services with waiting calls."""
        return list(self._waiters_by_service)

    def add(self, waiter: Waiter) -> None:
        """Append a call to the queue of its service."""
        waiters = self._waiters_by_service.setdefault(waiter.call.service, [])
        waiters.append(waiter)
        self._count += 1

    def remove(self, waiter: Waiter) -> bool:
        """Remove a call and return whether it was still waiting."""
        waiters = self._waiters_by_service.get(waiter.call.service, [])
        if waiter not in waiters:
            return False
        waiters.remove(waiter)
        self._count -= 1
        if not waiters:
            del self._waiters_by_service[waiter.call.service]
        return True

    def in_order(
        self, services: list[str], in_flight_by_team: dict[str, int]
    ) -> Iterator[Waiter]:
        """Yield the waiting calls of ``services`` in the order in which they get slots.

        Interactive calls go first, then those of the team with the fewest requests
        in flight, then the oldest.
        """
        queues = [
            list(self._waiters_by_service[service])
            for service in services
            if service in self._waiters_by_service
        ]
        while queues:
            first = min(
                queues,
                key=lambda queue: (
                    not queue[0].call.interactive,
                    in_flight_by_team.get(queue[0].call.team, 0),
                ),
            )
            yield first.pop(0)
            queues = [queue for queue in queues if queue]
