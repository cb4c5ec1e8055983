"""When a prompt is held, and for how long."""

from tanagerloft.gateway import prompt_hold


def test_a_short_queue_holds_no_request():
    hold = prompt_hold.PromptHold(prompt_tokens=1_400, objective_at_ms=1_600)
    assert not hold.should_wait(0, 1_000)
    assert not hold.should_wait(1_600, 1_000)


def test_a_prompt_of_any_length_is_sent_to_an_idle_engine():
    hold = prompt_hold.PromptHold(prompt_tokens=9_000, objective_at_ms=1_600)
    assert not hold.should_wait(0, 1_000)


def test_a_long_queue_holds_for_a_quarter_of_a_second_at_most():
    hold = prompt_hold.PromptHold(prompt_tokens=1_400, objective_at_ms=9_000)
    assert hold.should_wait(3_000, 1_000)
    assert hold.should_wait(3_000, 1_249)
    assert not hold.should_wait(3_000, 1_250)


def test_a_hold_leaves_half_of_the_time_to_the_latency_objective():
    hold = prompt_hold.PromptHold(prompt_tokens=1_400, objective_at_ms=1_200)
    assert hold.should_wait(3_000, 1_000)
    assert not hold.should_wait(3_000, 1_100)


def test_no_request_is_held_beyond_its_latency_objective():
    hold = prompt_hold.PromptHold(prompt_tokens=1_400, objective_at_ms=900)
    assert not hold.should_wait(3_000, 1_000)
