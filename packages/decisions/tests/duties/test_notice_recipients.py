"""Whom an agent tells, by what the entries answer."""

from anvilwell_decisions.duties import notice_recipients
import hypothesis
from hypothesis import strategies as st
import pytest

MANY = [f"e{number}" for number in range(20)]


@pytest.fixture
def recipients():
    """Return an audience among many entries."""
    made = notice_recipients.NoticeRecipients()
    made.set_entries(MANY)
    return made


def test_a_few_entries_are_all_told(recipients):
    few = MANY[: notice_recipients.MAX_DIRECT]
    recipients.set_entries(few)
    assert recipients.begin().first_recipients() == few


def test_those_that_are_named_are_told_and_the_next_time_at_once(recipients):
    delivery = recipients.begin()
    assert delivery.first_recipients() == ["e0"]
    assert delivery.answered("e0", ["e7", "e0", "gone"]) == ["e7"]
    assert delivery.answered("e7", ["e7"]) == []
    assert sorted(recipients.begin().first_recipients()) == ["e0", "e7"]


def test_one_that_nobody_names_any_more_is_told_no_more(recipients):
    recipients.update(["e7"])
    delivery = recipients.begin()
    delivery.first_recipients()
    assert delivery.answered("e0", ["e9"]) == ["e9"]
    assert sorted(recipients.begin().first_recipients()) == ["e0", "e9"]


def test_the_next_entry_is_asked_where_none_has_answered(recipients):
    recipients.update(["e7"])
    delivery = recipients.begin()
    assert sorted(delivery.first_recipients()) == ["e0", "e7"]
    assert delivery.failed("e0") == []
    assert delivery.failed("e7") == ["e1"]
    assert delivery.answered("e1", ["e9"]) == ["e9"]
    assert delivery.failed("e9") == []


def test_a_notice_that_nobody_answers_is_given_up(recipients):
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
def test_nobody_is_told_twice_and_all_that_are_named_once(answers):
    recipients = notice_recipients.NoticeRecipients()
    recipients.set_entries(MANY)
    delivery = recipients.begin()
    waits = told = delivery.first_recipients()
    named = set()
    for is_answered, entries in answers:
        if not waits:
            break
        vm_id, waits = waits[0], waits[1:]
        if is_answered:
            named.update(entries)
            more = delivery.answered(vm_id, entries)
        else:
            more = delivery.failed(vm_id)
        waits, told = [*waits, *more], [*told, *more]
    assert len(told) == len(set(told))
    assert named <= set(told)
