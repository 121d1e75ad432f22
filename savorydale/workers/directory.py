"""Directory of workers and of the services that run on them."""

from collections.abc import Iterable
from typing import NamedTuple

from savorydale.storage.interface import VmStatus


class Worker(NamedTuple):
    """A worker that runs a service."""

    name: str
    address: str
    zone: str


class RackServices(NamedTuple):
    """Services that run in a rack, as its owner last published them.

    A worker is listed once for each replica that it runs.
    """

    epoch: int
    version: int
    workers_by_service: dict[str, list[str]]


class Directory:
    """VMs, and the workers of each service without draining or removed ones."""

    def __init__(self) -> None:
        self.vm_by_name: dict[str, VmStatus] = {}
        self._vms_by_rack: dict[str, list[VmStatus]] = {}
        self._services_by_rack: dict[str, RackServices] = {}
        self._drained: set[str] = set()
        self._workers_by_service: dict[str, list[Worker]] = {}

    def set_vms(self, vms: Iterable[VmStatus]) -> None:
        """Replace the list of the platform's VMs."""
        self.vm_by_name = {vm.vm: vm for vm in vms}
        self._vms_by_rack = {}
        for vm in self.vm_by_name.values():
            self._vms_by_rack.setdefault(vm.rack, []).append(vm)
        self._rebuild()

    def racks(self) -> list[str]:
        """Return the names of all racks."""
        return list(self._vms_by_rack)

    def is_complete(self) -> bool:
        """Return whether the services of every rack are known."""
        return set(self._vms_by_rack) <= set(self._services_by_rack)

    def vms_of(self, rack: str) -> list[VmStatus]:
        """Return the VMs of a rack."""
        return self._vms_by_rack.get(rack, [])

    def set_drained(self, workers: Iterable[str]) -> None:
        """Replace the set of workers that operators drain."""
        self._drained = set(workers)
        self._rebuild()

    def update_rack(self, rack: str, services: RackServices) -> bool:
        """Store a rack's services unless the same or newer ones are known."""
        known = self._services_by_rack.get(rack)
        if known is not None and known[:2] >= services[:2]:
            return False
        self._services_by_rack[rack] = services
        self._rebuild()
        return True

    def rack_version(self, rack: str) -> int:
        """Return the known version of the rack's services, 0 if there is none."""
        known = self._services_by_rack.get(rack)
        return 0 if known is None else known.version

    def workers_of(self, service: str) -> list[Worker]:
        """Return the workers that accept requests for ``service``."""
        return self._workers_by_service.get(service, [])

    def services_on(self, worker: str) -> list[str]:
        """Return the services that run on ``worker``."""
        vm = self.vm_by_name.get(worker)
        if vm is None or vm.rack not in self._services_by_rack:
            return []
        by_service = self._services_by_rack[vm.rack].workers_by_service
        return [name for name, workers in by_service.items() if worker in workers]

    def accepts_work(self, worker: str) -> bool:
        """Return whether ``worker`` may get new work."""
        vm = self.vm_by_name.get(worker)
        return vm is not None and vm.state == "live" and worker not in self._drained

    def is_drained(self, worker: str) -> bool:
        """Return whether an operator drains ``worker``."""
        return worker in self._drained

    def _rebuild(self) -> None:
        by_service: dict[str, list[Worker]] = {}
        for services in self._services_by_rack.values():
            for service, names in services.workers_by_service.items():
                workers = by_service.setdefault(service, [])
                workers.extend(
                    Worker(name, vm.address, vm.zone)
                    for name in dict.fromkeys(names)
                    if self.accepts_work(name) and (vm := self.vm_by_name.get(name))
                )
        self._workers_by_service = by_service
