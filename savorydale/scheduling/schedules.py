"""Computes when the runs of a job are due."""

import datetime
import zoneinfo
from typing import NamedTuple

import cronsim

from savorydale.messages.settings_types import SettingsValues

MAX_MISSED_RUNS = 100


class SkipMissed(NamedTuple):
    """Missed runs are dropped if they are late by more than ``max_delay_seconds``."""

    max_delay_seconds: float = 60.0


class RunOnce(NamedTuple):
    """Only the latest of several missed runs is started."""


class RunAll(NamedTuple):
    """Every missed run is started, up to the latest ``MAX_MISSED_RUNS``."""


MissedRunPolicy = SkipMissed | RunOnce | RunAll

POLICY_BY_NAME: dict[str, MissedRunPolicy] = {
    "skip": SkipMissed(),
    "once": RunOnce(),
    "all": RunAll(),
}


def next_due(
    values: SettingsValues, after: datetime.datetime
) -> datetime.datetime | None:
    """Return the first time after ``after`` at which a job is due, in UTC, or None."""
    schedule = values.get("schedule")
    if schedule is None:
        return None
    time_zone = zoneinfo.ZoneInfo(values["time_zone"])
    due = next(cronsim.CronSim(schedule, after.astimezone(time_zone)), None)
    return None if due is None else due.astimezone(datetime.UTC)


def due_runs(
    values: SettingsValues, after: datetime.datetime, now: datetime.datetime
) -> list[datetime.datetime]:
    """Return the due times of the runs to start, as the policy for missed runs allows.

    Times are in UTC. Daylight saving time is handled as in Debian's cron: a run in
    the skipped hour starts right after it, and a run in the repeated hour starts
    once, unless the schedule has a wildcard there.

    Parameters
    ----------
    values : SettingsValues
        Effective values of the job.
    after : datetime
        Time of the previous check; runs due by then were started or dropped.
    now : datetime
        Current time.
    """
    schedule = values.get("schedule")
    if schedule is None:
        return []
    time_zone = zoneinfo.ZoneInfo(values["time_zone"])
    missed: list[datetime.datetime] = []
    for due in cronsim.CronSim(schedule, after.astimezone(time_zone)):
        due_utc = due.astimezone(datetime.UTC)
        if due_utc > now:
            break
        missed.append(due_utc)
    return _apply_policy(POLICY_BY_NAME[values["missed_runs"]], missed, now)


def _apply_policy(
    policy: MissedRunPolicy, missed: list[datetime.datetime], now: datetime.datetime
) -> list[datetime.datetime]:
    match policy:
        case SkipMissed(max_delay_seconds):
            earliest = now - datetime.timedelta(seconds=max_delay_seconds)
            return [due for due in missed if due >= earliest]
        case RunOnce():
            return missed[-1:]
        case RunAll():
            return missed[-MAX_MISSED_RUNS:]
