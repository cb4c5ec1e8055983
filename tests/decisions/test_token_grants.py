"""Fleet-wide token limits by grants of the lease holder."""

from tanagerloft.decisions import account_tokens
from tanagerloft.decisions import token_grants

_LIMIT = {"acc": token_grants.Limit(1_000, 5_000)}


def _ledger(full=True) -> token_grants.GrantLedger:
    ledger = token_grants.GrantLedger(None if full else {})
    ledger.configure(_LIMIT, 0)
    return ledger


def _need(needed, granted=0.0) -> token_grants.Need:
    return token_grants.Need(needed, granted)


def test_grants_of_all_instances_share_one_bucket():
    ledger = _ledger()
    assert ledger.grant("a", "acc", _need(3_000), 0).granted_tokens == 3_000
    assert ledger.grant("b", "acc", _need(3_000), 0).granted_tokens == 2_000


def test_a_need_reported_again_is_granted_once():
    ledger = _ledger()
    for _ in range(3):
        grant = ledger.grant("a", "acc", _need(3_000), 0)
        assert grant.granted_tokens == 3_000
    assert ledger.grant("b", "acc", _need(2_000), 0).granted_tokens == 2_000


def test_an_account_that_is_declared_again_has_no_second_burst():
    # Guards against a limit that is exceeded by withdrawing its account.
    ledger = _ledger()
    assert ledger.grant("a", "acc", _need(5_000), 0).granted_tokens == 5_000
    ledger.configure({}, 1_000)
    ledger.configure(_LIMIT, 2_000)
    assert ledger.grant("b", "acc", _need(5_000), 2_000).granted_tokens == 2_000


def test_the_retry_time_follows_from_the_missing_tokens():
    ledger = _ledger()
    grant = ledger.grant("a", "acc", _need(7_000), 0)
    assert grant.retry_ms == 2_000
    grant = ledger.grant("a", "acc", _need(7_000, 5_000), 2_000)
    assert grant.granted_tokens == 7_000


def test_a_new_holder_begins_with_empty_buckets():
    ledger = _ledger(full=False)
    assert ledger.grant("a", "acc", _need(100, 0), 0).granted_tokens == 0
    assert ledger.grant("b", "acc", _need(900, 800), 100).granted_tokens == 900


def test_self_granted_tokens_are_deducted_from_the_bucket():
    ledger = _ledger()
    ledger.grant("a", "acc", _need(1_000), 0)
    ledger.grant("a", "acc", _need(4_000, 3_000), 0)
    assert ledger.grant("b", "acc", _need(5_000), 0).granted_tokens == 1_000


def test_an_account_without_a_limit_is_granted_everything():
    ledger = _ledger()
    assert ledger.grant("a", "free", _need(1e9), 0).granted_tokens == 1e9


def _account() -> tuple[account_tokens.AccountTokens, list]:
    outcomes: list[account_tokens.Outcome] = []
    account = account_tokens.AccountTokens(400)
    account.fallback_tokens_per_s = 100
    return account, outcomes


def test_a_request_waits_for_the_answer_to_the_report_with_its_need():
    account, outcomes = _account()
    assert not account.acquire(500, 7, 0, outcomes.append)
    account.on_grant(token_grants.Grant(0, 300), 6, 1)
    assert not outcomes
    account.on_grant(token_grants.Grant(500, 0), 7, 2)
    assert outcomes == [account_tokens.Outcome(True, 0, True)]


def test_a_request_that_gets_no_grant_is_refused_at_once():
    account, outcomes = _account()
    account.acquire(500, 7, 0, outcomes.append)
    account.on_grant(token_grants.Grant(0, 300), 7, 1)
    assert outcomes == [account_tokens.Outcome(False, 300, True)]


def test_refunded_tokens_are_used_again():
    account, outcomes = _account()
    account.acquire(500, 1, 0, outcomes.append)
    account.on_grant(token_grants.Grant(500, 0), 1, 1)
    account.refund(500)
    assert account.acquire(500, 2, 2, outcomes.append)


def test_without_a_holder_the_instance_uses_its_share_of_the_rate():
    account, outcomes = _account()
    account.acquire(20, 1, 0, outcomes.append)
    account.on_holder_timeout(399)
    assert not outcomes
    account.on_holder_timeout(500)
    assert outcomes == [account_tokens.Outcome(True, 0, True)]
    assert account.need().granted_tokens == 50


def test_without_a_holder_requests_are_refused_after_a_time():
    account, outcomes = _account()
    account.acquire(5_000, 1, 0, outcomes.append)
    account.on_holder_timeout(500)
    account.on_holder_timeout(900)
    assert [outcome.admitted for outcome in outcomes] == [False]
    # No lease holder has said that the limit is exhausted.
    assert not outcomes[0].confirmed


def test_a_widened_limit_stays_within_the_tolerance_in_any_window():
    window_s = 8
    tolerance = token_grants.Tolerance(11_000, 0.1)
    for rate, burst in ((2_600, 2_600), (14_000, 14_000), (100, 50_000)):
        limit = token_grants.apply_tolerance(
            token_grants.Limit(rate, burst), tolerance
        )
        admitted = limit.rate_tokens_per_s * window_s + limit.burst_tokens
        assert admitted <= (rate * window_s + burst) * 1.1 + 11_000


def test_a_request_larger_than_the_burst_can_be_granted():
    tolerance = token_grants.Tolerance(11_000, 0.1)
    ledger = token_grants.GrantLedger(None)
    limit = token_grants.apply_tolerance(
        token_grants.Limit(2_600, 2_600), tolerance
    )
    ledger.configure({"acc": limit}, 0)
    assert ledger.grant("a", "acc", _need(4_800), 0).granted_tokens == 4_800


def test_no_tokens_are_self_granted_while_the_share_is_unknown():
    # Instances that did not know their number yet used the whole rate each.
    # Found by fuzzing.
    outcomes = []
    account = account_tokens.AccountTokens(400)
    account.acquire(20, 1, 0, outcomes.append)
    account.on_holder_timeout(500)
    account.on_holder_timeout(900)
    assert outcomes == [account_tokens.Outcome(False, 1_000, False)]


def test_a_takeover_refuses_no_request_within_the_limit():
    """After each takeover all requests were refused (seen on gcd-vigia)."""
    before = token_grants.GrantLedger(None)
    before.configure({"acc": token_grants.Limit(1_000, 8_000)}, 0)
    row = before.propose_promises(1_000)
    before.on_promises_written(row)
    before.grant("a", "acc", _need(2_000), 1_100)
    after = token_grants.GrantLedger(row)
    after.configure({"acc": token_grants.Limit(1_000, 8_000)}, 4_000)
    assert after.grant("a", "acc", _need(4_000, 2_000), 4_000) == (
        token_grants.Grant(4_000, 0)
    )


def test_what_is_promised_to_the_next_holder_is_not_granted():
    ledger = token_grants.GrantLedger(None)
    ledger.configure({"acc": token_grants.Limit(1_000, 8_000)}, 0)
    row = ledger.propose_promises(0)
    granted = 0.0
    for needed in range(500, 20_000, 500):
        grant = ledger.grant("a", "acc", _need(needed), 0)
        if isinstance(grant, token_grants.Grant):
            granted = grant.granted_tokens
    assert row["acc"] > 0
    assert granted + row["acc"] <= 8_000


def test_an_older_promise_binds_until_the_newer_one_is_known_to_be_written():
    ledger = token_grants.GrantLedger(None)
    ledger.configure({"acc": token_grants.Limit(0.001, 8_000)}, 0)
    ledger.on_promises_written(ledger.propose_promises(0))
    ledger.grant("a", "acc", _need(4_000), 0)
    newer = ledger.propose_promises(0)
    assert newer["acc"] == 2_000
    withheld = ledger.grant("a", "acc", _need(5_000, 4_000), 0)
    assert isinstance(withheld, token_grants.Withheld)
    ledger.on_promises_written(newer)
    assert ledger.grant("a", "acc", _need(5_000, 4_000), 0) == (
        token_grants.Grant(5_000, 0)
    )


def test_a_request_above_the_unpromised_level_is_granted_next():
    ledger = token_grants.GrantLedger(None)
    ledger.configure({"acc": token_grants.Limit(1_000, 8_000)}, 0)
    ledger.on_promises_written(ledger.propose_promises(0))
    need = _need(7_000)
    assert isinstance(ledger.grant("a", "acc", need, 0), token_grants.Withheld)
    ledger.on_promises_written(ledger.propose_promises(0))
    assert ledger.grant("a", "acc", need, 0) == token_grants.Grant(7_000, 0)
    assert not isinstance(
        ledger.grant("a", "acc", _need(20_000, 7_000), 0),
        token_grants.Withheld,
    )


def test_a_new_holder_deducts_self_granted_tokens_once():
    ledger = token_grants.GrantLedger({"acc": 500.0})
    ledger.configure({"acc": token_grants.Limit(100.0, 1_000.0)}, 0)
    self_granted = token_grants.Need(700.0, 400.0, self_granted_tokens=400.0)
    for _ in range(2):
        grant = ledger.grant("a", "acc", self_granted, 0)
        assert isinstance(grant, token_grants.Grant)
        assert grant.granted_tokens == 400.0 + 100.0
