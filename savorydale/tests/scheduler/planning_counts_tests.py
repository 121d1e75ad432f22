"""The log fields of planning show why tasks wait, and serialize to JSON."""

import json

from savorydale.jobs.model import StepSpec
from savorydale.orders.interface import Resources
from savorydale.orders.runs import WorkerLoad
from savorydale.placement.choice import Candidate
from savorydale.scheduler.planning_counts import PlanningCounts

BACKFILL = StepSpec(1, 1000, 100, image="a", backfill=True)
LARGE = Candidate("w1", (), WorkerLoad(Resources(16_000, 64_000, 0)))
SMALL = Candidate("w2", (), WorkerLoad(Resources(16_000, 50, 0)))


def test_refusals_are_counted_by_kind_and_reason():
    counts = PlanningCounts()
    counts.count_refusal(BACKFILL, [LARGE, SMALL])
    counts.count_refusal(BACKFILL, [SMALL])
    counts.count_refusal(StepSpec(1, 1000, 100), [SMALL])
    fields = json.loads(json.dumps(counts.to_fields()))
    assert fields["steps_refused"] == {
        "backfill.too_slow": 1,
        "backfill.no_room": 1,
        "short.no_room": 1,
    }
