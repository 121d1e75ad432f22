from savorydale.routing.inflation import (
    SAMPLES_PER_WINDOW,
    InflationMeter,
    LatencyWindow,
)


def record_window(meter, worker, seconds, service="desk"):
    for _ in range(SAMPLES_PER_WINDOW):
        meter.record(worker, service, seconds)


def test_a_worker_is_compared_with_the_fastest_workers():
    meter = InflationMeter()
    for number in range(5):
        record_window(meter, f"w{number}", 0.02)
    record_window(meter, "slow", 0.03)
    inflations = {pair.worker: value for pair, value in meter.compute().items()}
    assert inflations["w0"] == 1.0
    assert inflations["slow"] == 1.5


def test_a_slowdown_of_all_workers_is_detected():
    meter = InflationMeter()
    record_window(meter, "w0", 0.02)
    record_window(meter, "w1", 0.02)
    assert set(meter.compute().values()) == {1.0}
    record_window(meter, "w0", 0.04)
    record_window(meter, "w1", 0.04)
    assert set(meter.compute().values()) == {2.0}


def test_only_changes_are_reported_and_partial_windows_are_ignored():
    meter = InflationMeter()
    record_window(meter, "w0", 0.02)
    assert len(meter.collect_changes()) == 1
    assert meter.collect_changes() == {}
    meter.record("w0", "desk", 5.0)
    assert meter.collect_changes() == {}
    meter.retain_workers(set())
    assert meter.compute() == {}


def test_a_full_window_is_restarted():
    window = LatencyWindow()
    for _ in range(SAMPLES_PER_WINDOW):
        window.record(1.0)
    for _ in range(SAMPLES_PER_WINDOW):
        window.record(3.0)
    assert window.mean == 3.0
