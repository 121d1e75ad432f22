"""Encoding of rows: decoding returns what was encoded."""

import pytest

from savorydale.exceptions import RowFormatError
from savorydale.jobs.model import (
    Configuration,
    JobSpec,
    QueueSettings,
    StepSpec,
    TaskId,
)
from savorydale.jobs.rows import (
    JobRow,
    JobStatus,
    StateRow,
    SummaryRow,
    TailRow,
    TaskRow,
    decode_job,
    decode_state,
    decode_step,
    decode_summary,
    decode_tail,
    encode_job,
    encode_state,
    encode_step,
    encode_summary,
    encode_tail,
    tail_key,
)
from savorydale.placement.crashes import CrashCounts
from savorydale.placement.interference import INTERCEPT, TailFit

QUEUE = QueueSettings("q", "h", "/q/", "desk", 1, 2, 1.5, 250.0, True)


MAX_ROW_BYTES = 65_536


def test_job_round_trip():
    steps = (
        StepSpec(3, 100, 200, estimate_ms=900),
        StepSpec(1, after=(0,), image="x", max_unavailable=0, long_running=True),
    )
    row = JobRow(JobSpec("text", steps, 5, 10, 2), QUEUE, 77)
    assert decode_job(encode_job(row)) == row


def test_step_progress_round_trip():
    rows = [TaskRow(True, 1, 0, "", ""), TaskRow(False, 0, 0, "", "")]
    rows.append(TaskRow(False, 2, 1, "w1", "cp"))
    assert decode_step(encode_step(rows)) == rows


def test_crashes_are_stored_only_if_there_are_any():
    row = TaskRow(False, 2, 1, "w1", "cp")
    suspect = row._replace(crashes=CrashCounts(2, 1, 2))
    stored = encode_step([row, suspect])
    assert decode_step(stored) == [row, suspect]
    assert stored == b'[[0,2,1,"w1","cp"],[0,2,1,"w1","cp",2,1,2]]'


def test_crashes_that_others_may_explain_are_stored():
    suspect = TaskRow(False, 2, 1, "w1", "cp", CrashCounts(2, 1, 2, 3, 1, 1))
    stored = encode_step([suspect])
    assert decode_step(stored) == [suspect]
    assert stored == b'[[0,2,1,"w1","cp",2,1,2,3,1,1]]'


def test_crashes_of_an_earlier_release_are_read():
    [row] = decode_step(b'[[0,2,1,"w1","cp",2,1,2]]')
    assert row.crashes == CrashCounts(suspected=2, attributed=1, last_counted_run=2)


@pytest.mark.parametrize(
    "crashes", ['"x"', "1,[]", "1,1,1,1", "1,1,1,1,1", "1,1,1,1,1,1,1"]
)
def test_malformed_crashes_are_rejected(crashes):
    with pytest.raises(RowFormatError):
        decode_step(f'[[0,2,1,"w1","cp",{crashes}]]'.encode())


def test_runs_of_a_done_task_are_not_stored():
    stored = encode_step([TaskRow(True, 2, 1, "", "cp")])
    assert decode_step(stored) == [TaskRow(True, 1, 0, "", "")]


def test_state_and_summary_round_trip():
    state = StateRow("q", JobStatus.FAILED, 123)
    assert decode_state(encode_state(state)) == state
    assert decode_summary(encode_summary(SummaryRow(3, 9))) == SummaryRow(3, 9)


def test_step_row_of_a_large_step_stays_small():
    waiting = TaskRow(False, 0, 0, "", "")
    done = TaskRow(True, 1, 0, "", "")
    assert len(encode_step([waiting] * 500 + [done] * 500)) < 2_100
    assert decode_step(encode_step([waiting, done])) == [waiting, done]


def test_step_rows_of_the_release_before_are_read():
    assert decode_step(b'[0,[1,2,1,"",""]]')[1] == TaskRow(True, 2, 1, "", "")


@pytest.mark.parametrize(
    "decode", [decode_job, decode_state, decode_step, decode_summary]
)
@pytest.mark.parametrize("value", [b"\xff", b"7", b"[2]"])
def test_malformed_rows_are_rejected(decode, value):
    with pytest.raises(RowFormatError):
        decode(value)


def test_task_id_round_trip():
    task = TaskId("0123456789abcdef", 0, 1, 17)
    assert TaskId.parse(str(task)) == task
    with pytest.raises(RowFormatError):
        TaskId.parse("nonsense")


def test_longest_prefix_selects_the_queue():
    short = QueueSettings("short", "h", "/a/", "desk")
    long = QueueSettings("long", "h", "/a/b/", "desk")
    configuration = Configuration(1, {"short": short, "long": long}, 1000)
    assert configuration.find_queue("h", "/a/b/1") == long
    assert configuration.find_queue("h", "/a/1") == short
    assert configuration.find_queue("other", "/a/1") is None


def store_and_read_fit(fit, max_bytes=MAX_ROW_BYTES, image="feed"):
    value = encode_tail(TailRow(image, fit), max_bytes)
    row = decode_tail(tail_key(image).key, value)
    assert row.service_image == image
    return row.fit


@pytest.mark.parametrize("image", ["feed", "", "n" * 300, "a\ud800", "sha256-00"])
def test_tail_fit_round_trip(image):
    fit = TailFit()
    for share in (0.0, 0.1, 0.2):
        fit.observe({"heavy": share}, 2.0 + 8.0 * share)
    for _ in range(50):
        fit.fit()
    restored = store_and_read_fit(fit, image=image)
    for _ in range(50):
        restored.fit()
    assert abs(restored.coefficients["heavy"] - fit.coefficients["heavy"]) < 0.01


def test_fit_of_many_images_keeps_the_best_known_ones_within_a_row():
    fit = TailFit()
    images = [f"image-with-a-long-name-{number:03}" for number in range(200)]
    fit.observe({image: 1 / (number + 1) for number, image in enumerate(images)}, 2.0)
    encoded = encode_tail(TailRow("feed", fit), MAX_ROW_BYTES)
    restored = decode_tail("feed", encoded).fit
    assert 0.3 * MAX_ROW_BYTES < len(encoded) <= MAX_ROW_BYTES
    assert INTERCEPT in restored.products
    assert images[0] in restored.products
    assert images[-1] not in restored.products


def test_fit_that_cannot_be_stored_is_empty():
    fit = TailFit()
    fit.observe({"x" * 1000: 0.5}, 2.0)
    assert store_and_read_fit(fit, 10).products == {}
