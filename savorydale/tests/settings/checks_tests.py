import random

from savorydale.settings.checks import check_changes
from savorydale.settings.tree import EMPTY_TREE, SettingsTree
from savorydale.tests.harness import tree


def invalid_options_of(changes, before=EMPTY_TREE):
    return [error.option for error in check_changes(before, changes)]


def test_a_valid_tree_has_no_errors():
    assert (
        invalid_options_of(tree(schedule="0 4 * * *", time_zone="Africa/Cairo")) == []
    )


def test_all_node_errors_are_reported_at_once():
    nodes = tree(run_second=3, processors=-1)
    nodes["hq/ga/counts/desk"]["kind"] = "servic"
    assert sorted(invalid_options_of(nodes)) == [
        "hq/ga/counts/desk.kind",
        "hq/ga/counts/roll.values.processors",
        "hq/ga/counts/roll.values.run_second",
    ]


def test_a_locked_value_cannot_be_overridden_below():
    nodes = tree(max_attempts=9)
    nodes["hq"]["locked"] = ["max_attempts"]
    assert invalid_options_of(nodes) == ["hq/ga/counts/roll.values.max_attempts"]


def test_locking_a_value_that_is_overridden_below_is_an_error():
    before = SettingsTree(1, tree(max_attempts=9))
    lock = {"hq": {"kind": "headquarters", "locked": ["max_attempts"]}}
    assert invalid_options_of(lock, before) == ["hq/ga/counts/roll.values.max_attempts"]


def test_removing_a_node_with_children_is_an_error():
    before = SettingsTree(1, tree())
    assert invalid_options_of({"hq/ga": None}, before) == ["hq/ga/counts"]


def test_schedule_and_time_zone_are_checked():
    nodes = tree(schedule="61 * * * *", time_zone="Georgia")
    assert sorted(invalid_options_of(nodes)) == [
        "hq/ga/counts/roll.values.schedule",
        "hq/ga/counts/roll.values.time_zone",
    ]


def test_a_workload_over_the_quota_is_an_error():
    nodes = tree(replicas=4, processors=5)
    nodes["hq/ga/counts"]["values"] = {"quota_processors": 3}
    assert sorted(invalid_options_of(nodes)) == [
        "hq/ga/counts.values.quota_processors",
        "hq/ga/counts/roll.values.processors",
    ]


def test_two_workloads_cannot_share_a_name():
    nodes = tree()
    nodes["hq/ga/other"] = {"kind": "team"}
    nodes["hq/ga/other/desk"] = {"kind": "job"}
    assert invalid_options_of(nodes) == ["hq/ga/other/desk"]


def test_inherited_values_name_the_node_that_sets_them():
    nodes = tree(processors=2)
    nodes["hq/ga"]["values"] = {"time_zone": "America/New_York", "processors": 7}
    effective = SettingsTree(1, nodes).effective("hq/ga/counts/roll")
    assert effective["time_zone"] == ("America/New_York", "hq/ga")
    assert effective["processors"] == (2, "hq/ga/counts/roll")
    assert effective["missed_runs"] == ("once", "(default)")


def test_a_tree_with_changes_equals_one_built_from_its_nodes():
    rng = random.Random(6)
    changed = SettingsTree(1, tree(processors=1))
    for version in range(2, 60):
        kind = rng.choice(("team", "job", "service"))
        path = rng.choice(
            ("hq", "hq/ga", "hq/ga/counts", "hq/ga/counts/desk", "hq/ga/counts/roll")
        )
        kind = {"hq": "headquarters", "hq/ga": "branch"}.get(path, kind)
        kind = "team" if path == "hq/ga/counts" else kind
        node = {"kind": kind, "values": {"processors": rng.randrange(1, 9)}}
        removable = path.endswith(("desk", "roll"))
        change = {path: None if removable and rng.random() < 0.3 else node}
        changed = changed.with_changes(version, change)
        built = SettingsTree(version, changed.node_by_path)
        assert changed.job_by_name == built.job_by_name
        assert changed.service_by_name == built.service_by_name
