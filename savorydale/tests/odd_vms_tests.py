"""An odd item in the platform's list of VMs is left out; the others hold."""

import asyncio
import time

import pytest

from savorydale.exceptions import StoreError
from savorydale.storage.client import open_platform
from standins.entry_process import free_port
from standins.processes import is_ready, open_deployment, post, wait_until
from standins.row_store import Reply
from standins.serve import serve

CALL_TIMEOUT_SECONDS = 2.0
POLLS_SECONDS = 3.0  # a few readings of the list
HUGE = 10**400
VM = {
    "vm": "w0",
    "address": "127.0.0.1:8000",
    "zone": "a",
    "rack": "r0",
    "state": "live",
    "processors": 8.0,
    "memory_gb": 16.0,
    "accelerators": 0,
    "slots": 4,
    "connections": 2,
}
ODD_VMS = {
    "number": 5,
    "null": None,
    "nested": {**VM, "vm": [[[]]]},
    "name is a number": {**VM, "vm": 7},
    "rack is an object": {**VM, "rack": {}},
    "state is unknown": {**VM, "state": "asleep"},
    "state is a list": {**VM, "state": ["live"]},
    "processors of 400 digits": {**VM, "processors": HUGE},
    "processors below zero": {**VM, "processors": -1},
    "memory is not finite": {**VM, "memory_gb": float("inf")},
    "slots of 400 digits": {**VM, "slots": HUGE},
    "slots are a text": {**VM, "slots": "4"},
    "slots are true": {**VM, "slots": True},
    "port out of range": {**VM, "address": "127.0.0.1:99999999"},
    "address without a port": {**VM, "address": "127.0.0.1"},
    "field missing": {key: VM[key] for key in VM if key != "rack"},
}


class VmsAnswer:
    """Answers each request with one body."""

    def __init__(self, body):
        self._body = body

    async def handle(self, method, path, params, body):
        return Reply(200, self._body)


async def list_vms(body):
    async with serve(VmsAnswer(body), free_port()) as address:
        with open_platform(f"http://{address}", CALL_TIMEOUT_SECONDS) as platform:
            return await platform.list_vms()


@pytest.mark.parametrize("name", ODD_VMS)
def test_odd_vm_does_not_hide_the_others(name):
    vms = asyncio.run(list_vms({"vms": [ODD_VMS[name], VM]}))
    assert [vm._asdict() for vm in vms] == [VM]


def test_unknown_field_of_a_vm_is_ignored():
    vms = asyncio.run(list_vms({"vms": [{**VM, "kernel": "6.1"}]}))
    assert [vm._asdict() for vm in vms] == [VM]


@pytest.mark.parametrize("body", [{}, [], {"vms": {}}, {"vms": None}, 5])
def test_malformed_list_of_vms_is_a_store_error(body):
    with pytest.raises(StoreError):
        asyncio.run(list_vms(body))


def test_odd_vms_do_not_end_the_process(tmp_path):
    with open_deployment(tmp_path) as deployment:
        platform = deployment.start_standin("standins.platform", "platform")
        post(platform, "/admin/vms", VM)
        entry = deployment.start_entry("e0", "a", platform)
        wait_until("the entry is ready", lambda: is_ready(entry))
        for number, odd in enumerate(ODD_VMS.values()):
            if isinstance(odd, dict):
                post(platform, "/admin/vms", {**odd, "vm": f"odd{number}"})
        time.sleep(POLLS_SECONDS)
        assert entry.popen.poll() is None
        assert is_ready(entry)
        assert "Traceback" not in deployment.read_log("e0")
