"""Whom an agent tells, by what the entries answer."""

from anvilwell_decisions.duties import audience as audiences
import hypothesis
from hypothesis import strategies as st
import pytest

MANY = [f"e{number}" for number in range(20)]


@pytest.fixture
def audience():
    """Return an audience among many entries."""
    made = audiences.Audience()
    made.set_entries(MANY)
    return made


def test_a_few_entries_are_all_told(audience):
    few = MANY[: audiences.MOST_DIRECT]
    audience.set_entries(few)
    assert audience.begin().first() == few


def test_those_that_are_named_are_told_and_the_next_time_at_once(audience):
    telling = audience.begin()
    assert telling.first() == ["e0"]
    assert telling.answered("e0", ["e7", "e0", "gone"]) == ["e7"]
    assert telling.answered("e7", ["e7"]) == []
    assert sorted(audience.begin().first()) == ["e0", "e7"]


def test_one_that_nobody_names_any_more_is_told_no_more(audience):
    audience.learn(["e7"])
    telling = audience.begin()
    telling.first()
    assert telling.answered("e0", ["e9"]) == ["e9"]
    assert sorted(audience.begin().first()) == ["e0", "e9"]


def test_the_next_entry_is_asked_where_none_has_answered(audience):
    audience.learn(["e7"])
    telling = audience.begin()
    assert sorted(telling.first()) == ["e0", "e7"]
    assert telling.failed("e0") == []
    assert telling.failed("e7") == ["e1"]
    assert telling.answered("e1", ["e9"]) == ["e9"]
    assert telling.failed("e9") == []


def test_a_notice_that_nobody_answers_is_given_up(audience):
    telling = audience.begin()
    asked = telling.first()
    for vm_id in asked:
        asked += telling.failed(vm_id)
    assert asked == MANY[: audiences.MOST_ASKED]


@hypothesis.given(
    st.lists(
        st.tuples(st.booleans(), st.lists(st.sampled_from(MANY), max_size=3)),
        max_size=40,
    )
)
def test_nobody_is_told_twice_and_all_that_are_named_once(answers):
    audience = audiences.Audience()
    audience.set_entries(MANY)
    telling = audience.begin()
    waits = told = telling.first()
    named = set()
    for is_answered, entries in answers:
        if not waits:
            break
        vm_id, waits = waits[0], waits[1:]
        if is_answered:
            named.update(entries)
            more = telling.answered(vm_id, entries)
        else:
            more = telling.failed(vm_id)
        waits, told = [*waits, *more], [*told, *more]
    assert len(told) == len(set(told))
    assert named <= set(told)
