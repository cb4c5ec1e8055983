"""Tests of tanagerloft.decisions.bucket."""

import random

import pytest

from tanagerloft.decisions import bucket as bucket_lib

_RATE_MILLI_PER_S = 50_000
_BURST = bucket_lib.to_micro_tokens(100)


@pytest.fixture
def bucket():
    result = bucket_lib.TokenBucket(0)
    result.resize(_RATE_MILLI_PER_S, _BURST, 0)
    result.fill(_BURST, 0)
    return result


def test_reserves_the_whole_amount_or_nothing(bucket):
    assert bucket.reserve(bucket_lib.to_micro_tokens(101), 0) is None
    assert bucket.available(0) == _BURST
    assert bucket.reserve(_BURST, 0) is not None
    assert bucket.available(0) == 0


def test_refills_at_its_rate(bucket):
    bucket.reserve(_BURST, 0)
    assert bucket.available(100) == bucket_lib.to_micro_tokens(5)
    assert bucket.wait_ms(bucket_lib.to_micro_tokens(10), 100) == 100


def test_settle_refunds_the_unused_amount(bucket):
    reservation = bucket.reserve(_BURST, 0)
    bucket.settle(reservation, bucket_lib.to_micro_tokens(30), 0)
    assert bucket.available(0) == bucket_lib.to_micro_tokens(70)


def test_settle_refunds_nothing_once_the_bucket_was_full_again(bucket):
    reservation = bucket.reserve(_BURST, 0)
    assert bucket.available(2_000) == _BURST
    bucket.reserve(_BURST, 2_000)
    bucket.settle(reservation, 0, 2_000)
    assert bucket.available(2_000) == 0


def test_settle_refunds_nothing_after_a_change_of_size(bucket):
    reservation = bucket.reserve(_BURST, 0)
    bucket.resize(_RATE_MILLI_PER_S, _BURST // 2, 0)
    bucket.settle(reservation, 0, 0)
    assert bucket.available(0) == 0


def test_two_settlements_share_the_headroom_of_one(bucket):
    first = bucket.reserve(_BURST // 2, 0)
    second = bucket.reserve(_BURST // 2, 0)
    bucket.reserve(bucket_lib.to_micro_tokens(50), 1_000)
    bucket.settle(first, 0, 1_000)
    bucket.settle(second, 0, 1_000)
    assert bucket.available(1_000) == _BURST - bucket_lib.to_micro_tokens(50)


@pytest.mark.parametrize("seed", range(20))
def test_settled_tokens_never_exceed_burst_and_rate(bucket, seed):
    """Any window holds at most burst + rate * window of settled tokens."""
    rng = random.Random(seed)
    now_ms = 0
    open_reservations = []
    admitted = []
    for _ in range(300):
        now_ms += rng.choice((0, 1, 7, 50, 400))
        if open_reservations and rng.random() < 0.5:
            index = rng.randrange(len(open_reservations))
            at_ms, reservation = open_reservations.pop(index)
            used = rng.randint(0, reservation.micro_tokens)
            bucket.settle(reservation, used, now_ms)
            admitted.append((at_ms, used))
        else:
            amount = rng.randint(0, _BURST)
            reservation = bucket.reserve(amount, now_ms)
            if reservation is not None:
                open_reservations.append((now_ms, reservation))
    admitted += [(at_ms, r.micro_tokens) for at_ms, r in open_reservations]
    _check_all_windows(sorted(admitted))


def _check_all_windows(admitted):
    for first, (start_ms, _) in enumerate(admitted):
        total = 0
        for at_ms, used in admitted[first:]:
            total += used
            allowed = _BURST + (at_ms - start_ms) * _RATE_MILLI_PER_S
            assert total <= allowed
