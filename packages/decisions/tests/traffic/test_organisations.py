"""Keys identify organisations, and batches are separate by organisation."""

from anvilwell_decisions.traffic import facts
from anvilwell_decisions.traffic import organisations
from anvilwell_kernel import exceptions
import hypothesis
from hypothesis import strategies as st
import pytest

ASSOCIATION = facts.Organisation("association", ("a1", "a2"), priority=0)
SCHOOLS = facts.Organisation("schools", ("s1",))
KNOWN = organisations.Organisations((ASSOCIATION, SCHOOLS))
ROUTE = facts.Route("r", "h", "/p/", (), priority=2)


@pytest.mark.parametrize(
    ("key", "sender"), [("a1", ASSOCIATION), ("a2", ASSOCIATION)]
)
def test_any_key_identifies_its_organisation(key, sender):
    assert KNOWN.sender([key], is_open=False) == sender


@pytest.mark.parametrize("keys", [[], [""], ["gone"], ["a1", "s1"]])
def test_a_route_that_needs_a_key_rejects_unknown_or_several(keys):
    with pytest.raises(exceptions.UnknownKey):
        KNOWN.sender(keys, is_open=False)


@pytest.mark.parametrize(
    ("keys", "sender"), [([], None), (["gone"], None), (["s1"], SCHOOLS)]
)
def test_an_open_route_accepts_any_key_and_none(keys, sender):
    assert KNOWN.sender(keys, is_open=True) == sender


def test_without_organisations_no_key_is_needed():
    without_keys = organisations.Organisations()

    assert without_keys.sender([], is_open=False) is None
    assert without_keys.sender(["x"], is_open=False) is None


def test_a_moved_key_identifies_the_new_organisation():
    moved = organisations.Organisations(
        (
            ASSOCIATION._replace(keys=("a2",)),
            SCHOOLS._replace(keys=("s1", "a1")),
        )
    )

    assert moved.sender(["a1"], is_open=False).name == "schools"


def test_the_priority_of_an_organisation_overrides_the_route():
    assert organisations.with_priority(ROUTE, ASSOCIATION).priority == 0
    assert organisations.with_priority(ROUTE, SCHOOLS).priority == 2
    assert organisations.with_priority(ROUTE, None).priority == 2


NAMES = st.text(max_size=8)
BATCH_IDS = st.text("abc019_.-", min_size=1, max_size=6)


@hypothesis.given(NAMES, BATCH_IDS, NAMES, BATCH_IDS)
def test_batch_ids_are_distinct_by_organisation(one, id_1, other, id_2):
    is_same = (one, id_1) == (other, id_2)
    kept_as = organisations.owned_id(one, id_1)

    assert (kept_as == organisations.owned_id(other, id_2)) == is_same
    assert organisations.unowned_id(kept_as) == id_1
