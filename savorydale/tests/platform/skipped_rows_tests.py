"""A row that cannot be read is counted each time, but does not flood the log."""

import asyncio
import logging

from savorydale.counters import Counters
from savorydale.platform.skipped_rows import SkippedRows
from savorydale.tests.harness import on_virtual_time


def make_rows():
    counters = Counters()
    return SkippedRows("row is skipped", "row.unreadable", counters), counters


@on_virtual_time
async def test_changing_odd_row_does_not_flood_the_log(caplog):
    caplog.set_level(logging.INFO)
    rows, counters = make_rows()
    for number in range(400):
        rows.record("odd", f"reason {number % 7}")
        await asyncio.sleep(0.05)
    assert counters.count("row.unreadable") == 400
    assert 3 <= len(caplog.records) <= 5
    assert sum(record.repetitions for record in caplog.records) > 250


@on_virtual_time
async def test_repeated_reason_is_logged_once(caplog):
    caplog.set_level(logging.INFO)
    rows, counters = make_rows()
    for _ in range(400):
        rows.record("odd", "no JSON")
        await asyncio.sleep(0.05)
    assert [record.reason for record in caplog.records] == ["no JSON"]
    assert counters.count("row.unreadable") == 400


@on_virtual_time
async def test_thousands_of_odd_rows_do_not_flood_the_log(caplog):
    caplog.set_level(logging.INFO)
    rows, counters = make_rows()
    for number in range(20_000):
        rows.record(f"odd{number}", "no JSON")
        await asyncio.sleep(0.0005)
    assert len(caplog.records) <= 110
    assert counters.count("row.unreadable") == 20_000


@on_virtual_time
async def test_row_that_was_not_logged_is_logged_later(caplog):
    caplog.set_level(logging.INFO)
    rows, _ = make_rows()
    for number in range(50):
        rows.record(f"odd{number}", "no JSON")
    await asyncio.sleep(1)
    rows.record("odd49", "no JSON")
    assert caplog.records[-1].key == "odd49"
