import collections

from anvilwell_decisions.duties import rendezvous
import hypothesis
from hypothesis import strategies as st

VMS = [f"edge-{number}" for number in range(12)]


def test_without_vms_none_is_chosen():
    assert rendezvous.choose_vm("watch", []) is None


@hypothesis.given(st.permutations(VMS), st.text(max_size=9))
def test_the_choice_does_not_depend_on_the_order_of_the_vms(vms, duty):
    assert rendezvous.choose_vm(duty, vms) == rendezvous.choose_vm(duty, VMS)


@hypothesis.given(st.sampled_from(VMS), st.text(max_size=9))
def test_a_lost_vm_moves_only_its_own_duties(gone, duty):
    before = rendezvous.choose_vm(duty, VMS)
    after = rendezvous.choose_vm(duty, [vm for vm in VMS if vm != gone])

    assert after != gone
    if before != gone:
        assert after == before


def test_duties_are_spread_over_the_vms():
    counts = collections.Counter(
        rendezvous.choose_vm(f"duty-{number}", VMS) for number in range(1200)
    )

    assert set(counts) == set(VMS)
    assert max(counts.values()) < 2 * 1200 / len(VMS)
