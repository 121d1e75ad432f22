import datetime

from savorydale.scheduling.schedules import due_runs, next_due
from savorydale.settings.tree import DEFAULT_VALUES

UTC = datetime.UTC


def job_values(schedule, time_zone, missed_runs="all"):
    return DEFAULT_VALUES | {
        "schedule": schedule,
        "time_zone": time_zone,
        "missed_runs": missed_runs,
    }


def utc(*parts):
    return datetime.datetime(*parts, tzinfo=UTC)


def test_a_daily_run_follows_daylight_saving_time_in_georgia():
    daily_job = job_values("0 6 * * *", "America/New_York")
    due = due_runs(daily_job, utc(2026, 3, 6, 12), utc(2026, 3, 9, 12))
    assert due == [utc(2026, 3, 7, 11), utc(2026, 3, 8, 10), utc(2026, 3, 9, 10)]


def test_a_run_in_the_skipped_hour_is_due_once():
    nightly_job = job_values("30 2 * * *", "America/New_York")
    due = due_runs(nightly_job, utc(2026, 3, 7, 12), utc(2026, 3, 9, 12))
    assert len(due) == 2


def test_a_run_in_the_repeated_hour_is_due_once():
    nightly_job = job_values("30 1 * * *", "America/New_York")
    due = due_runs(nightly_job, utc(2026, 10, 31, 12), utc(2026, 11, 2, 12))
    assert len(due) == 2


def test_a_daily_run_follows_daylight_saving_time_in_cairo():
    daily_job = job_values("0 6 * * *", "Africa/Cairo")
    due = due_runs(daily_job, utc(2026, 4, 22, 12), utc(2026, 4, 25, 12))
    assert [item.hour for item in due] == [4, 3, 3]


def test_missed_runs_follow_the_configured_policy():
    after, now = utc(2026, 5, 1, 0, 30), utc(2026, 5, 1, 4, 30)
    hourly = "0 * * * *"
    assert len(due_runs(job_values(hourly, "UTC", "all"), after, now)) == 4
    once = due_runs(job_values(hourly, "UTC", "once"), after, now)
    assert once == [utc(2026, 5, 1, 4)]
    assert due_runs(job_values(hourly, "UTC", "skip"), after, now) == []


def test_a_job_without_schedule_is_never_due():
    assert next_due(DEFAULT_VALUES, utc(2026, 5, 1)) is None
