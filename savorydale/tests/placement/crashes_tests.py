"""Which runs may have crashed a worker, and when a task is given up."""

import pytest

from savorydale.jobs.model import StepSpec, TaskId
from savorydale.orders.runs import Run, RunState
from savorydale.placement.crashes import (
    NO_EVIDENCE,
    PROBATION_SECONDS,
    CrashCounts,
    CrashEvidence,
    find_suspects,
    has_passed_probation,
    seconds_to_clearance,
)


def make_run(index=0, **values):
    values = {"state": RunState.ACTIVE, "start_sent_at": 0.0, **values}
    return Run(TaskId("j", 0, 0, index), 1, StepSpec(1), 0.0, **values)


@pytest.mark.parametrize(
    ("suspected", "attributed", "is_given_up"),
    [
        (0, 0, False),
        (1, 1, False),
        (2, 1, False),
        (2, 2, True),
        (3, 1, False),
        (4, 0, True),
    ],
)
def test_task_is_given_up_after_enough_crashes(suspected, attributed, is_given_up):
    assert CrashCounts(suspected, attributed).is_given_up is is_given_up


@pytest.mark.parametrize(
    ("counts", "is_given_up"),
    [
        (CrashCounts(coincident=4, coincident_alone=4), False),
        (CrashCounts(coincident=5), True),
        (CrashCounts(1, coincident=2, coincident_alone=2), False),
        (CrashCounts(1, coincident=3), True),
        (CrashCounts(1, 1, coincident=1), False),
        (CrashCounts(1, 1, coincident=1, coincident_alone=1), True),
        (CrashCounts(explained=9), False),
        (CrashCounts(1, explained=9), False),
        (CrashCounts(2, explained=1), False),
        (CrashCounts(2, explained=2), True),
        (CrashCounts(1, coincident=1, explained=1), False),
        (CrashCounts(1, coincident=1, explained=2), True),
        (CrashCounts(coincident=4, explained=9), False),
        (CrashCounts(coincident=1, explained=9), False),
    ],
)
def test_crashes_that_others_may_explain_count_less(counts, is_given_up):
    assert counts.is_given_up is is_given_up


@pytest.mark.parametrize(
    ("counts", "starts_at_its_own_time", "must_be_isolated"),
    [
        (CrashCounts(2), False, True),
        (CrashCounts(1, 1), True, True),
        (CrashCounts(coincident=1), False, False),
        (CrashCounts(coincident=1, coincident_alone=1), True, True),
        (CrashCounts(coincident=2), True, False),
        (CrashCounts(coincident=3), True, True),
        (CrashCounts(1, coincident=1), True, True),
        (CrashCounts(explained=9), False, False),
    ],
)
def test_suspects_of_coincident_crashes_start_apart_from_each_other(
    counts, starts_at_its_own_time, must_be_isolated
):
    assert counts.must_start_at_its_own_time is starts_at_its_own_time
    assert counts.must_be_isolated is must_be_isolated


def test_crash_that_is_judged_again_replaces_the_earlier_verdict():
    coincident = CrashEvidence(coincident=1, coincident_alone=1)
    counts = CrashCounts(1, 1, 3).replace_evidence(NO_EVIDENCE, coincident)
    assert counts == CrashCounts(1, 1, 3, 1, 1)
    counts = counts.replace_evidence(coincident, CrashEvidence(explained=1))
    assert counts == CrashCounts(1, 1, 3, 0, 0, 1)


@pytest.mark.parametrize(
    ("suspected", "attributed", "must_be_isolated"),
    [(0, 0, False), (1, 0, False), (1, 1, True), (2, 0, True)],
)
def test_task_is_isolated_once_more_than_chance_speaks_against_it(
    suspected, attributed, must_be_isolated
):
    assert CrashCounts(suspected, attributed).must_be_isolated is must_be_isolated


def test_crash_is_added_to_the_counts():
    assert CrashCounts().add_crash(3, False) == CrashCounts(1, 0, 3)
    assert CrashCounts(1, 0, 3).add_crash(4, True) == CrashCounts(2, 1, 4)
    assert CrashCounts(1, 0).is_suspect
    assert not CrashCounts().is_suspect


@pytest.mark.parametrize(
    ("state", "listed_after", "has_passed"),
    [
        (RunState.ACTIVE, PROBATION_SECONDS, True),
        (RunState.ACTIVE, PROBATION_SECONDS - 0.01, False),
        (RunState.UNKNOWN, 2 * PROBATION_SECONDS, False),
        (RunState.ASSIGNED, 2 * PROBATION_SECONDS, False),
    ],
)
def test_run_passes_probation_when_a_later_list_shows_it(
    state, listed_after, has_passed
):
    run = make_run(state=state, confirmed_at=10.0)
    assert has_passed_probation(run, 10.0 + listed_after) is has_passed


def test_next_list_is_due_when_it_may_clear_an_isolated_run():
    isolated = make_run(0, is_isolated=True, confirmed_at=10.0)
    later = make_run(1, is_isolated=True, confirmed_at=10.5)
    ordinary = make_run(2, confirmed_at=9.0)
    cleared = make_run(3, is_isolated=True, passed_probation=True)
    unknown = make_run(4, is_isolated=True, state=RunState.UNKNOWN)
    runs = [ordinary, later, cleared, unknown]
    assert seconds_to_clearance([*runs, isolated], 10.2) == pytest.approx(0.8)
    assert seconds_to_clearance([isolated], 12.0) == 0.0
    assert seconds_to_clearance([ordinary, cleared, unknown], 10.2) is None


def test_suspects_are_the_runs_on_probation_that_may_have_started():
    accepted = make_run(0)
    unanswered = make_run(1, state=RunState.UNKNOWN)
    proven = make_run(2, passed_probation=True)
    not_sent = make_run(3, state=RunState.ASSIGNED, start_sent_at=None)
    counted_before = make_run(4, was_suspected=True)
    runs = [accepted, unanswered, proven, not_sent, counted_before]
    assert find_suspects(runs) == [accepted, unanswered]


def test_nobody_is_blamed_if_no_run_is_on_probation():
    assert find_suspects([make_run(passed_probation=True)]) == []
