"""Tests of the cache of policy answers: single queries, expiry and denials."""

from savorydale.placement.advice import (
    MAX_PENDING_QUERIES,
    MAX_WORKERS_PER_QUERY,
    REQUEST_SECONDS,
    AdviceCache,
    PolicyAnswer,
    StepName,
)

STEP = StepName("0123456789abcdef", 0, 1)
ANSWER = PolicyAnswer({"w1": "t1"}, 3.0)


def test_step_name_is_the_prefix_of_its_task_ids():
    assert str(STEP) == "0123456789abcdef.0.1"


def test_pending_query_is_not_repeated():
    cache = AdviceCache()
    assert cache.next_query(STEP, ["w1", "w2"], 0.0) == ["w1", "w2"]
    assert cache.next_query(STEP, ["w1", "w2"], 0.0) is None


def test_tickets_and_denials_are_cached():
    cache = AdviceCache()
    queried = cache.next_query(STEP, ["w1", "w2"], 0.0)
    cache.record_answer(STEP, queried, ANSWER, 0.0)
    assert cache.ticket(STEP, "w1", 1.0) == "t1"
    assert cache.ticket(STEP, "w2", 1.0) == ""
    assert cache.next_query(STEP, ["w1", "w2"], 1.0) is None
    assert cache.next_query(STEP, ["w1", "w2", "w3"], 1.0) == ["w3"]


def test_ticket_is_not_used_shortly_before_it_expires():
    cache = AdviceCache()
    cache.record_answer(STEP, ["w1"], ANSWER, 0.0)
    assert cache.ticket(STEP, "w1", 2.8) == ""
    assert cache.next_query(STEP, ["w1"], 2.8) == ["w1"]


def test_failed_query_is_repeated():
    cache = AdviceCache()
    queried = cache.next_query(STEP, ["w1"], 0.0)
    cache.record_answer(STEP, queried, None, 1.0)
    assert cache.next_query(STEP, ["w1"], 1.0) == ["w1"]


def test_answers_of_removed_job_are_discarded():
    cache = AdviceCache()
    cache.record_answer(STEP, ["w1"], ANSWER, 0.0)
    cache.remove_job(STEP.job)
    assert cache.ticket(STEP, "w1", 0.0) == ""


def test_workers_that_an_incomplete_answer_omits_are_queried_after_the_others():
    cache = AdviceCache()
    workers = [f"w{number}" for number in range(MAX_WORKERS_PER_QUERY + 2)]
    queried = cache.next_query(STEP, workers, 0.0)
    incomplete = PolicyAnswer({"w1": "t1"}, 3.0, is_complete=False)
    cache.record_answer(STEP, queried, incomplete, 0.1)
    assert not any(cache.is_denied(STEP, worker) for worker in workers)
    assert cache.ticket(STEP, "w1", 0.1) == "t1"
    later = cache.next_query(STEP, workers, 0.1)
    assert later == [*workers[-2:], "w0", *workers[2:-3]]


def step_of(number):
    return STEP._replace(job=f"{number:016x}")


def take_all_slots(cache):
    for number in range(MAX_PENDING_QUERIES):
        assert cache.next_query(step_of(number), ["w1"], float(number))


def test_freed_slot_goes_to_the_step_that_queried_least_recently():
    cache = AdviceCache()
    take_all_slots(cache)
    for number in (0, 1):
        cache.record_answer(step_of(number), ["w1"], None, 5.0)
    assert cache.next_query(step_of(10), ["w1"], 5.0)
    assert cache.next_query(step_of(11), ["w1"], 5.0)
    for number in (1, 0, 12, 13):
        assert cache.next_query(step_of(number), ["w1"], 6.0) is None
    served = []
    for number in (2, 3, 10, 11):
        cache.record_answer(step_of(number), ["w1"], ANSWER, 7.0)
        served.append(cache.take_requested_query(7.0)[0])
        assert cache.take_requested_query(7.0) is None
    assert served == [step_of(12), step_of(13), step_of(0), step_of(1)]


def test_request_of_an_ended_job_or_of_long_ago_takes_no_slot():
    cache = AdviceCache()
    take_all_slots(cache)
    for number in (10, 11):
        assert cache.next_query(step_of(number), ["w1"], 5.0) is None
    cache.remove_job(step_of(10).job)
    cache.record_answer(step_of(0), ["w1"], ANSWER, 6.0)
    assert cache.take_requested_query(5.0 + REQUEST_SECONDS + 0.1) is None
    assert cache.take_requested_query(6.0) == (step_of(11), ["w1"])


def test_first_request_of_a_round_is_kept():
    cache = AdviceCache()
    take_all_slots(cache)
    for workers in (["w1"], ["w2"], []):
        assert cache.next_query(step_of(10), workers, 5.0) is None
    cache.record_answer(step_of(0), ["w1"], ANSWER, 6.0)
    assert cache.take_requested_query(6.0) == (step_of(10), ["w1"])
