"""Tests how the limit of a replica is divided among the entries."""

from anvilwell_decisions.requests import cold_allowances
import pytest

LIMIT = 21
SETTLED_AT = 100.0
LAPSED_S = cold_allowances.LAPSED_OWNER_S
# Entries with one view, one of which is new or gone in the other view.
ENTRIES = tuple(f"e{number}" for number in range(26))


def _allowance(vm_id, vm_ids, homes, shares, is_cold=False, **changes):
    ownership = cold_allowances.Ownership(vm_id)
    ownership.set_homes(homes, 0.0)
    owner = ownership.owner("r") if shares.owner else None
    sender = cold_allowances.Sender(
        ownership.owned_since("r") if shares.owner else None,
        0.0,
        0.0,
        other_share=cold_allowances.other_share(
            vm_id, "r", [one for one in vm_ids if one != owner], shares.others
        ),
    )
    return cold_allowances.allowance(
        shares, sender._replace(**changes), is_cold, SETTLED_AT
    )


def test_the_limit_is_rounded_down():
    """Guard against a limit above the one of the platform."""
    assert cold_allowances.request_limit(11.0, 1.5, 5) == LIMIT


@pytest.mark.parametrize("has_items", [True, False])
@pytest.mark.parametrize("has_live_calls", [True, False])
@pytest.mark.parametrize("count", [3, 26])
def test_two_different_views_together_keep_the_limit(
    has_items, has_live_calls, count
):
    """Guard against two entries that both believe to be the owner."""
    shares = cold_allowances.Shares.from_limit(
        LIMIT, has_items, has_live_calls
    )
    entries = ENTRIES[:count]
    others = tuple(f"o{number}" for number in range(count))
    totals = [
        sum(
            _allowance(vm_id, view, view[:1], shares, is_cold)
            for vm_id in view
        )
        for view in (entries, others)
        for is_cold in (False, True)
    ]
    assert min(totals) > 0
    assert 2 * max(totals) <= LIMIT


def test_a_new_owner_waits_until_earlier_requests_no_longer_count():
    """Guard against the requests of a killed owner and of its successor."""
    shares = cold_allowances.Shares.from_limit(LIMIT, True, False)
    for is_cold, expected in ((True, 0), (False, 1)):
        args = ("e0", ENTRIES, ("e0",), shares, is_cold)
        assert _allowance(*args, owned_since=SETTLED_AT - 1) == expected
        assert _allowance(*args, lapsed_s=LAPSED_S) == expected
        assert _allowance(*args, known_since=SETTLED_AT - 1) == 0
        assert _allowance(*args) == shares.owner == 9


def test_an_owner_goes_on_during_a_short_outage_of_the_store():
    """Guard against items that stop whenever no lease can be renewed."""
    shares = cold_allowances.Shares.from_limit(LIMIT, True, False)
    for is_cold in (False, True):
        args = ("e0", ENTRIES, ("e0",), shares, is_cold)
        assert _allowance(*args, lapsed_s=LAPSED_S - 0.1) == shares.owner


def test_what_remains_owned_is_not_waited_for():
    """Guard against pauses whenever any entry joins or leaves."""
    ownership = cold_allowances.Ownership("a")
    ownership.set_homes(("a", "b"), 1.0)
    owned = [f"r{n}" for n in range(20) if ownership.owned_since(f"r{n}")]
    assert 0 < len(owned) < 20
    assert ownership.set_homes(("a",), 2.0)
    assert {ownership.owned_since(one) for one in owned} == {1.0}
    lent = [f"r{n}" for n in range(20) if f"r{n}" not in owned]
    assert {ownership.owned_since(one) for one in lent} == {2.0}


def test_lent_slots_carry_requests_while_in_contact():
    """Guard against borrowed slots that stay unused, or used when cut off."""
    shares = cold_allowances.Shares.from_limit(LIMIT, True, False)
    args = ("e1", ENTRIES, ("e0",), shares, True)
    assert _allowance(*args, other_share=1, borrowed=3) == 3
    assert _allowance(*args, borrowed=3, lapsed_s=0.1) == 0
