"""Advice is asked for once, kept, and never used past its validity."""

from savorydale.placement.advice import AdviceCache, PolicyAnswer, StepName

STEP = StepName("0123456789abcdef", 0, 1)
ANSWER = PolicyAnswer({"w1": "t1"}, 3.0)


def test_step_is_named_as_its_tasks_are():
    assert str(STEP) == "0123456789abcdef.0.1"


def test_a_question_is_asked_once():
    cache = AdviceCache()
    assert cache.next_query(STEP, ["w1", "w2"], 0.0) == ["w1", "w2"]
    assert cache.next_query(STEP, ["w1", "w2"], 0.0) is None


def test_tickets_are_kept_and_denied_workers_not_asked_again():
    cache = AdviceCache()
    asked = cache.next_query(STEP, ["w1", "w2"], 0.0)
    cache.record_answer(STEP, asked, ANSWER, 0.0)
    assert cache.ticket(STEP, "w1", 1.0) == "t1"
    assert cache.ticket(STEP, "w2", 1.0) == ""
    assert cache.next_query(STEP, ["w1", "w2"], 1.0) is None
    assert cache.next_query(STEP, ["w1", "w2", "w3"], 1.0) == ["w3"]


def test_tickets_end_before_the_worker_refuses_them():
    cache = AdviceCache()
    cache.record_answer(STEP, ["w1"], ANSWER, 0.0)
    assert cache.ticket(STEP, "w1", 2.8) == ""
    assert cache.next_query(STEP, ["w1"], 2.8) == ["w1"]


def test_without_an_answer_the_question_is_asked_again():
    cache = AdviceCache()
    asked = cache.next_query(STEP, ["w1"], 0.0)
    cache.record_answer(STEP, asked, None, 1.0)
    assert cache.next_query(STEP, ["w1"], 1.0) == ["w1"]


def test_ended_jobs_are_forgotten():
    cache = AdviceCache()
    cache.record_answer(STEP, ["w1"], ANSWER, 0.0)
    cache.remove_job(STEP.job)
    assert cache.ticket(STEP, "w1", 0.0) == ""
