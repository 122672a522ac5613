"""The verdict on a request from those on its attempts, and of errors."""

import hypothesis
from hypothesis import strategies as st
import pytest

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts
from anvilwell_kernel import web

Verdict = verdicts.Verdict
VERDICTS = st.lists(st.sampled_from(Verdict))


@hypothesis.given(VERDICTS)
def test_not_run_only_if_no_attempt_may_have_run(found):
    is_not_run = verdicts.combine(*found) is Verdict.NOT_RUN

    assert is_not_run == (set(found) <= {Verdict.NOT_RUN})


@hypothesis.given(VERDICTS)
def test_ran_if_any_attempt_ran(found):
    has_run = verdicts.combine(*found) is Verdict.RAN

    assert has_run == (Verdict.RAN in found)


@hypothesis.given(VERDICTS, st.randoms(use_true_random=False))
def test_order_of_attempts_does_not_matter(found, source):
    shuffled = source.sample(found, len(found))

    assert verdicts.combine(*found) is verdicts.combine(*shuffled)


def subclasses(kind):
    yield kind
    for child in kind.__subclasses__():
        yield from subclasses(child)


@pytest.mark.parametrize(
    "kind", sorted(subclasses(exceptions.AnvilwellError), key=str)
)
def test_every_error_has_verdict_reason_and_status(kind):
    error = kind([]) if kind is exceptions.ConfigurationError else kind("no")

    response = web.error_response(error, "r1")

    assert 400 <= response.status_code < 600
    assert response.headers[web.VERDICT] in set(Verdict)
    assert response.headers[web.REASON] in set(reasons.Refusal)
    assert response.json["error"]["request_id"] == "r1"


def test_own_reason_and_verdict_override_those_of_the_class():
    error = exceptions.Refused(
        "full",
        reason=reasons.Refusal.QUEUE_FULL,
        verdict=Verdict.MAY_HAVE_RUN,
    )

    assert error.reason is reasons.Refusal.QUEUE_FULL
    assert error.verdict is Verdict.MAY_HAVE_RUN
    assert exceptions.Refused.reason is reasons.Refusal.OVERLOADED
