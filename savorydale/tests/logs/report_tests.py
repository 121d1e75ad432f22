"""Each job of a day's logs is counted under one outcome and one cause."""

import io
import json

import pytest

from savorydale.commands.report import report
from savorydale.logs.reading import read_log
from savorydale.logs.report import Cause, Outcome, build_report

JOB = "5c0e7a21d94b36f8"


class Log:
    """Builds the log of one process; times are in seconds on the store's clock."""

    def __init__(self):
        self.lines = []
        self.add(0.0, "clock compared", store_ms=0)

    def add(self, seconds, event, **fields):
        time = f"2026-01-19 10:00:{seconds:06.3f}"
        record = {"time": time, "vm": "e1", "event": event, **fields}
        self.lines.append(json.dumps(record))

    def accept(self, seconds=1.0, outcome="JobAccepted(is_repeat=False)", steps=()):
        self.add(seconds, "job submitted", job=JOB, queue="q", outcome=outcome)
        if "Accepted(is" in outcome:
            self.add(seconds, "job taken in", job=JOB, queue="q", steps=list(steps))

    def run(self, task, started, ended, reason="done", run=1):
        name = f"{JOB}.0.{task}"
        self.add(started, "run started", task=name, run=run)
        self.add(ended, "run ended", job=JOB, task=name, run=run, reason=reason)

    def end(self, seconds, status="completed", objective=4.0):
        self.add(seconds, "job ended", job=JOB, status=status, objective=objective)

    def counts(self):
        lines = list(read_log(io.StringIO("\n".join(self.lines))))
        queue_report = build_report(lines)["q"]
        outcomes = list(queue_report.count_by_outcome.elements())
        return outcomes, list(queue_report.count_by_cause.elements())


@pytest.fixture
def log():
    return Log()


def test_job_on_time_has_no_cause(log):
    log.accept()
    log.run("0.0", 1.1, 3.0)
    log.end(3.0)
    assert log.counts() == ([Outcome.ON_TIME], [])


def test_refused_job(log):
    log.accept(outcome="JobNotAccepted(reason='status 503')")
    assert log.counts() == ([Outcome.NOT_ACCEPTED], [Cause.NOT_ACCEPTED])


def test_job_without_a_start(log):
    log.accept()
    assert log.counts() == ([Outcome.UNFINISHED], [Cause.NOT_STARTED])


def test_job_that_waited_for_its_first_start(log):
    log.accept()
    log.run("0.0", 4.0, 8.0)
    log.end(8.0)
    assert log.counts() == ([Outcome.LATE], [Cause.WAITED])


def test_job_with_a_failed_run(log):
    log.accept()
    log.run("0.0", 1.1, 3.0, "failed")
    log.run("0.0", 3.1, 20.0, run=2)
    log.end(20.0)
    assert log.counts() == ([Outcome.TOO_LATE], [Cause.RUN_FAILED])


def test_job_that_waited_for_its_slowest_task(log):
    log.accept()
    for index, ended in enumerate((3.0, 3.1, 3.2, 9.0)):
        log.run(f"0.{index}", 1.1, ended)
    log.end(9.0)
    assert log.counts() == ([Outcome.LATE], [Cause.STRAGGLER])


def test_job_during_a_takeover(log):
    log.accept()
    log.run("0.0", 1.1, 6.0)
    log.add(4.0, "lease acquired", epoch=2)
    log.end(6.0)
    assert log.counts() == ([Outcome.LATE], [Cause.TAKEOVER])


def test_job_that_was_set_aside(log):
    log.accept()
    log.add(1.5, "job is set aside", job=JOB, reason="no steps")
    assert log.counts() == ([Outcome.FAILED], [Cause.NOT_STARTED])


def test_cut_and_foreign_lines_are_skipped(log):
    log.accept()
    log.lines += [log.lines[-1][:40], "{", '{"time": 7}', "[" * 200_000, "text"]
    log.add(2.0, "an event of a later version", job=JOB)
    log.add(2.5, "clock compared", store_ms="soon")
    assert log.counts() == ([Outcome.UNFINISHED], [Cause.NOT_STARTED])


def test_report_is_printed_as_tables(log):
    log.accept()
    lines = report([], io.StringIO("\n".join(log.lines)))
    assert lines[0] == "Jobs by outcome"
    assert lines[2].split() == ["unfinished", "1"]
    assert report([], io.StringIO("nothing")) == []
