"""An agent notifies the entries that responses to its notices name."""

from anvilwell_decisions.duties import notice_recipients
import hypothesis
from hypothesis import strategies as st
import pytest

MANY = [f"e{number}" for number in range(20)]


@pytest.fixture
def recipients():
    """Return `NoticeRecipients` among many entries."""
    made = notice_recipients.NoticeRecipients()
    made.set_entries(MANY)
    return made


def test_a_few_entries_are_all_notified(recipients):
    few = MANY[: notice_recipients.MAX_DIRECT]
    recipients.set_entries(few)
    assert recipients.begin().first_recipients() == few


def test_named_entries_are_notified_and_next_time_at_once(recipients):
    delivery = recipients.begin()
    assert delivery.first_recipients() == ["e0"]
    assert delivery.answered("e0", ["e7", "e0", "gone"]) == ["e7"]
    assert delivery.answered("e7", ["e7"]) == []
    assert sorted(recipients.begin().first_recipients()) == ["e0", "e7"]


def test_an_entry_that_is_no_longer_named_is_not_notified(recipients):
    recipients.update(["e7"])
    delivery = recipients.begin()
    delivery.first_recipients()
    assert delivery.answered("e0", ["e9"]) == ["e9"]
    assert sorted(recipients.begin().first_recipients()) == ["e0", "e9"]


def test_the_next_entry_is_asked_if_none_has_answered(recipients):
    recipients.update(["e7"])
    delivery = recipients.begin()
    assert sorted(delivery.first_recipients()) == ["e0", "e7"]
    assert delivery.failed("e0") == []
    assert delivery.failed("e7") == ["e1"]
    assert delivery.answered("e1", ["e9"]) == ["e9"]
    assert delivery.failed("e9") == []


def test_an_unanswered_notice_is_abandoned(recipients):
    delivery = recipients.begin()
    asked = delivery.first_recipients()
    for vm_id in asked:
        asked += delivery.failed(vm_id)
    assert asked == MANY[: notice_recipients.MAX_ASKED]


@hypothesis.given(
    st.lists(
        st.tuples(st.booleans(), st.lists(st.sampled_from(MANY), max_size=3)),
        max_size=40,
    )
)
def test_all_named_entries_are_notified_exactly_once(answers):
    recipients = notice_recipients.NoticeRecipients()
    recipients.set_entries(MANY)
    delivery = recipients.begin()
    pending = notified = delivery.first_recipients()
    named = set()
    for is_answered, entries in answers:
        if not pending:
            break
        vm_id, pending = pending[0], pending[1:]
        if is_answered:
            named.update(entries)
            more = delivery.answered(vm_id, entries)
        else:
            more = delivery.failed(vm_id)
        pending, notified = [*pending, *more], [*notified, *more]
    assert len(notified) == len(set(notified))
    assert named <= set(notified)
