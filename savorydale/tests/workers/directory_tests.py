from savorydale.tests.fakes import make_vm
from savorydale.workers.directory import Directory, RackServices


def test_a_worker_with_several_replicas_is_listed_once():
    directory = Directory()
    directory.set_vms([make_vm("w0"), make_vm("w1")])
    services = {"desk": ["w0", "w0", "w1", "w0"]}
    directory.update_rack("r0", RackServices(1, 1, services))
    assert [worker.name for worker in directory.workers_of("desk")] == ["w0", "w1"]
