"""Retries are made only if the verdict and the budget allow them."""

import itertools
import random

import pytest

from anvilwell_decisions.requests import facts
from anvilwell_decisions.requests import retries
from anvilwell_decisions.requests import verdicts as table
from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts

NOT_RUN = verdicts.Verdict.NOT_RUN
MAY = verdicts.Verdict.MAY_HAVE_RUN
RAN = verdicts.Verdict.RAN


def _retries(**settings):
    settings = retries.RetrySettings(**settings)
    return retries.Retries(random.Random(1), settings)


def _failure(verdict=NOT_RUN, idempotent=True, **fields):
    fields = {
        "reason": reasons.Refusal.LINK_LOST,
        "attempts": 1,
        "time_left_s": 10.0,
        **fields,
    }
    return retries.FailedAttempt(
        verdict=verdict, idempotent=idempotent, **fields
    )


@pytest.mark.parametrize(
    ("verdict", "idempotent", "expected"),
    [
        (NOT_RUN, True, retries.Action.RETRY),
        (NOT_RUN, False, retries.Action.RETRY),
        (MAY, True, retries.Action.RETRY),
        (MAY, False, retries.Action.GIVE_UP),
        (RAN, True, retries.Action.GIVE_UP),
        (RAN, False, retries.Action.GIVE_UP),
    ],
)
def test_verdict_and_idempotence_decide(verdict, idempotent, expected):
    decision = _retries().decide(_failure(verdict, idempotent))
    assert decision.action is expected


@pytest.mark.parametrize(
    "row", table.TABLE, ids=lambda row: f"{row.hop}-{row.event}"
)
def test_non_idempotent_request_is_retried_only_if_not_run(row):
    failure = _failure(
        row.verdict, False, reason=row.reason or reasons.Refusal.INTERNAL
    )
    decision = _retries().decide(failure)
    if row.verdict is not NOT_RUN:
        assert decision is retries.GIVE_UP


def test_each_event_has_one_row_at_each_hop_and_the_rest_may_have_run():
    causes = [(row.hop, row.event) for row in table.TABLE]
    assert len(causes) == len(set(causes))
    assert {row.event for row in table.TABLE} == set(table.Event)
    for hop, event in itertools.product(table.Hop, table.Event):
        row = table.look_up(hop, event)
        if (hop, event) not in causes:
            assert row.verdict is MAY


def test_no_event_after_sending_to_the_backend_is_not_run():
    sent = {
        table.Event.IDLE_CONNECTION_CLOSED,
        table.Event.LOST_PARTLY_SENT,
        table.Event.LOST_AFTER_SENT,
        table.Event.TIMED_OUT_AFTER_SENT,
        table.Event.SERVER_ERROR,
        table.Event.LOST_AFTER_HEADERS,
        table.Event.LOST_IN_STREAM,
    }
    for hop, event in itertools.product(table.Hop, sent):
        assert table.look_up(hop, event).verdict is not NOT_RUN


def test_retries_stay_a_share_of_the_traffic():
    service_retries = _retries(share=0.1, burst=5)
    made = 0
    for _ in range(1000):
        service_retries.first_attempt()
        decision = service_retries.decide(_failure())
        made += decision.action is retries.Action.RETRY
    assert 100 <= made <= 105


def test_hedges_come_out_of_the_same_budget():
    service_retries = _retries(share=0.0, burst=1)
    assert service_retries.may_hedge(True)
    assert not service_retries.may_hedge(True)
    assert service_retries.decide(_failure()) is retries.GIVE_UP


def test_training_does_not_use_up_the_retries_of_live():
    service_retries = _retries(share=0.0, burst=1)
    training = facts.Priority.TRAINING
    retry = retries.Action.RETRY
    assert service_retries.decide(_failure(priority=training)).action is retry
    assert (
        service_retries.decide(_failure(priority=training)) is retries.GIVE_UP
    )
    assert service_retries.decide(_failure()).action is retry


def test_non_idempotent_requests_are_never_hedged():
    assert not _retries().may_hedge(False)


@pytest.mark.parametrize(
    "fields",
    [
        {"has_response_started": True},
        {"attempts": 4},
        {"time_left_s": 0.0},
        {"reason": reasons.Refusal.BAD_REQUEST},
        {"reason": reasons.Refusal.RATE_LIMITED},
    ],
)
def test_useless_retries_are_not_made_and_cost_no_budget(fields):
    service_retries = _retries(share=0.0, burst=1)
    assert service_retries.decide(_failure(**fields)) is retries.GIVE_UP
    assert service_retries.decide(_failure()).action is retries.Action.RETRY


def test_backoff_is_jittered_and_bounded():
    service_retries = _retries(share=1, burst=1000, max_attempts=20)
    delays = [
        service_retries.decide(_failure(attempts=a, time_left_s=100)).delay_s
        for a in range(2, 20)
        for _ in range(20)
    ]
    assert max(delays) <= 1.0
    assert len(set(delays)) == len(delays)
