"""How many loads the store takes at once, played on one of known size."""

import random

import pytest

from tanagerloft.decisions import store_concurrency

_STEP_MS = 50
_LOAD_MS = 6_000
# Reports of engines are up to so old, and come at this pause.
_LAG_MS = 300
_POLL_MS = 300


class _Load:
    def __init__(self, now_ms, own_speed):
        self.own_speed = own_speed
        self.left_ms = _LOAD_MS
        self.done_ms = None
        self.counted_ms = now_ms + _LOAD_MS + 30
        self.poll_ms = self.counted_ms + _LAG_MS


class _Play:
    """A store that carries a number of loads at full speed, and its users."""

    def __init__(self, takes, lanes=None, load_ms=_LOAD_MS, shared=True):
        self.takes = takes
        self._shared = shared
        self.lanes = lanes or store_concurrency.StoreLanes()
        self.now_ms = 0
        self.loads = {}
        self.begun = 0
        self.finished = 0
        self.most = 0
        self._load_ms = load_ms
        self._random = random.Random(takes)
        self._next_ms = 0

    def run(self, for_ms):
        for _ in range(for_ms // _STEP_MS):
            self._step()

    def _step(self):
        running = [one for one in self.loads.values() if one.done_ms is None]
        speed = min(1.0, self.takes / max(1, len(running)))
        self.now_ms += _STEP_MS
        for load in running:
            load.left_ms -= _STEP_MS * (
                speed if self._shared else load.own_speed
            )
            if load.left_ms <= 0:
                load.done_ms = self.now_ms
                self.finished += 1
        self.lanes.advance(len(self.loads), self.now_ms)
        for name, load in list(self.loads.items()):
            if self.now_ms >= load.poll_ms:
                self._report(name, load)
        self.begin()

    def _believed(self):
        """Loads that their holder believes to be under way."""
        return sum(
            self.now_ms < load.counted_ms for load in self.loads.values()
        )

    def _report(self, name, load):
        seen_ms = self.now_ms - _LAG_MS
        if load.done_ms is not None and load.done_ms <= seen_ms:
            self.lanes.seen_done(name)
            del self.loads[name]
            return
        load.poll_ms = self.now_ms + _POLL_MS
        load.counted_ms = self.now_ms + 500
        self.lanes.seen_loading(name, _LAG_MS)

    def begin(self):
        """Begins loads one after another, as far as they are worth it."""
        room = self.lanes.at_once() - self._believed()
        if room <= 0 or self.now_ms < self._next_ms:
            return
        self._next_ms = self.now_ms + self._random.choice((50, 150, 700))
        self.begun += 1
        name = f"load-{self.begun}"
        running = 1 + sum(one.done_ms is None for one in self.loads.values())
        self.loads[name] = _Load(self.now_ms, min(1.0, self.takes / running))
        self.lanes.begin(name, self._load_ms, self._believed())
        self.lanes.advance(len(self.loads), self.now_ms)
        self.most = max(self.most, len(self.loads))


@pytest.mark.parametrize("shared", [True, False])
@pytest.mark.parametrize("takes", [1, 2, 3, 4, 6, 8, 12])
def test_the_number_at_full_speed_is_found(takes, shared):
    play = _Play(takes, shared=shared)
    play.run(120_000)
    assert takes <= play.lanes.at_once() <= takes + 1


@pytest.mark.parametrize("shared", [True, False])
def test_loads_that_overlap_in_part_do_not_raise_the_number(shared):
    """Seen on gcd-vigia: six at once where four are, each load nine seconds."""
    play = _Play(4, shared=shared)
    numbers = []
    for _ in range(240):
        play.run(500)
        numbers.append(play.lanes.at_once())
    assert max(numbers) <= 5
    assert sum(number == 4 for number in numbers) > 0.8 * len(numbers)


def test_the_store_carries_all_it_can():
    play = _Play(4)
    play.run(120_000)
    assert play.finished >= 0.85 * 4 * 120_000 / _LOAD_MS


def test_a_first_guess_too_high_is_left_within_the_first_loads():
    play = _Play(2)
    play.run(4 * _LOAD_MS)
    assert play.lanes.at_once() <= 3
    play.run(4 * _LOAD_MS)
    assert play.lanes.at_once() == 2


def test_a_store_that_becomes_faster_is_noticed():
    play = _Play(2)
    play.run(60_000)
    assert play.lanes.at_once() == 2
    play.takes = 6
    play.run(600_000)
    assert play.lanes.at_once() >= 6


def test_one_load_alone_tells_nothing_of_more():
    lanes = store_concurrency.StoreLanes()
    lanes.advance(0, 0)
    lanes.begin("e", _LOAD_MS, concurrent=1)
    lanes.advance(1, 0)
    lanes.advance(0, 3 * _LOAD_MS)
    lanes.seen_loading("e", 0)
    lanes.seen_done("e")
    assert lanes.at_once() == 4


def test_a_holder_that_follows_knows_what_the_one_before_has_learnt():
    lanes = store_concurrency.StoreLanes()
    lanes.on_told(2, 0)
    assert lanes.at_once() == 2
    play = _Play(4, lanes)
    play.run(60_000)
    assert lanes.at_once() == 4


def test_its_own_word_makes_a_holder_forget_nothing():
    play = _Play(4)
    play.run(60_000)
    before = play.lanes.at_once()
    for _ in range(20):
        play.lanes.on_told(play.lanes.at_once(), play.lanes.proved)
        play.run(1_000)
    assert play.lanes.at_once() == before == 4


def test_the_time_left_follows_from_what_is_under_way():
    lanes = store_concurrency.StoreLanes()
    lanes.on_told(2, 0)
    lanes.advance(0, 0)
    for index in range(4):
        lanes.begin(f"e{index}", _LOAD_MS, concurrent=4)
    lanes.advance(4, 0)
    assert lanes.left_ms("e0") == 2 * _LOAD_MS
    lanes.advance(4, _LOAD_MS)
    assert lanes.left_ms("e0") == _LOAD_MS
    lanes.advance(4, 3 * _LOAD_MS)
    assert lanes.left_ms("e0") == 0
    assert lanes.left_ms("e9") is None


def test_what_a_holder_before_has_excluded_is_not_tried_again_at_once():
    first = _Play(2)
    first.run(60_000)
    lanes = store_concurrency.StoreLanes()
    lanes.on_told(first.lanes.at_once(), first.lanes.proved)
    assert lanes.at_once() == lanes.proved == 2
    play = _Play(2, lanes)
    for _ in range(60):
        play.run(500)
        assert lanes.at_once() == 2


def test_loads_that_may_be_over_prove_nothing():
    """Found by a drawn day: six proved at once where five are at full speed."""
    lanes = store_concurrency.StoreLanes()
    lanes.advance(0, 0)
    lanes.begin("e", _LOAD_MS, concurrent=3, surely=2)
    lanes.advance(3, 0)
    lanes.advance(0, _LOAD_MS + 100)
    lanes.seen_done("e")
    assert lanes.proved == 2
