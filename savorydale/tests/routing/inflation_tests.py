from savorydale.routing.inflation import (
    SAMPLES_PER_WINDOW,
    InflationMeter,
    LatencyWindow,
)


def record(meter, worker, seconds, service="desk"):
    for _ in range(SAMPLES_PER_WINDOW):
        meter.record(worker, service, seconds)


def test_a_worker_is_compared_with_the_faster_ones():
    meter = InflationMeter()
    for number in range(5):
        record(meter, f"w{number}", 0.02)
    record(meter, "slow", 0.03)
    inflations = {pair.worker: value for pair, value in meter.compute().items()}
    assert inflations["w0"] == 1.0
    assert inflations["slow"] == 1.5


def test_a_wave_that_slows_all_workers_shows():
    meter = InflationMeter()
    record(meter, "w0", 0.02)
    record(meter, "w1", 0.02)
    assert set(meter.compute().values()) == {1.0}
    record(meter, "w0", 0.04)
    record(meter, "w1", 0.04)
    assert set(meter.compute().values()) == {2.0}


def test_only_changes_are_told_and_a_part_of_a_window_says_nothing():
    meter = InflationMeter()
    record(meter, "w0", 0.02)
    assert len(meter.collect_changes()) == 1
    assert meter.collect_changes() == {}
    meter.record("w0", "desk", 5.0)
    assert meter.collect_changes() == {}
    meter.retain_workers(set())
    assert meter.compute() == {}


def test_a_window_starts_anew():
    window = LatencyWindow()
    for _ in range(SAMPLES_PER_WINDOW):
        window.record(1.0)
    for _ in range(SAMPLES_PER_WINDOW):
        window.record(3.0)
    assert window.mean == 3.0
