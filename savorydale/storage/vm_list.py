"""Decode the platform's list of VMs; an item that cannot be read is left out."""

from typing import NamedTuple

from savorydale.exceptions import RowFormatError
from savorydale.storage.interface import VmStatus
from savorydale.utils.addresses import to_address
from savorydale.utils.json_values import (
    to_float_within,
    to_object,
    to_text,
    to_whole_number,
)

VM_STATES = ("live", "leaving", "gone")
MAX_PROCESSORS = 10_000
MAX_MEMORY_GB = 1_000_000
MAX_ACCELERATORS = 10_000
MAX_SLOTS = 1_000_000
MAX_CONNECTIONS = 1_000_000_000


class VmList(NamedTuple):
    """The VMs that can be read, and why each of the others cannot."""

    vms: list[VmStatus]
    reasons: list[str]


def decode_vms(items: list[object]) -> VmList:
    """Decode the items of the platform's list."""
    vms: list[VmStatus] = []
    reasons: list[str] = []
    for item in items:
        try:
            vms.append(_decode_vm(item))
        except KeyError as error:
            reasons.append(f"missing field {error}")
        except RowFormatError as error:
            reasons.append(str(error))
    return VmList(vms, reasons)


def _decode_vm(item: object) -> VmStatus:
    data = to_object(item)
    if data["state"] not in VM_STATES:
        raise RowFormatError("unknown state")
    return VmStatus(
        vm=to_text(data["vm"]),
        address=to_address(data["address"]),
        zone=to_text(data["zone"]),
        rack=to_text(data["rack"]),
        state=data["state"],
        processors=to_float_within(data["processors"], 0, MAX_PROCESSORS),
        memory_gb=to_float_within(data["memory_gb"], 0, MAX_MEMORY_GB),
        accelerators=to_whole_number(data["accelerators"], 0, MAX_ACCELERATORS),
        slots=to_whole_number(data["slots"], 0, MAX_SLOTS),
        connections=to_whole_number(data["connections"], 0, MAX_CONNECTIONS),
    )
