import collections

from anvilwell_decisions.duties import rendezvous
import hypothesis
from hypothesis import strategies as st

VMS = [f"edge-{number}" for number in range(12)]


def test_nobody_has_a_duty_where_nobody_is():
    assert rendezvous.choose_vm("watch", []) is None


@hypothesis.given(st.permutations(VMS), st.text(max_size=9))
def test_all_choose_alike_in_whatever_order_they_know_the_vms(vms, duty):
    assert rendezvous.choose_vm(duty, vms) == rendezvous.choose_vm(duty, VMS)


@hypothesis.given(st.sampled_from(VMS), st.text(max_size=9))
def test_a_vm_that_goes_moves_only_its_own_duties(gone, duty):
    before = rendezvous.choose_vm(duty, VMS)
    after = rendezvous.choose_vm(duty, [vm for vm in VMS if vm != gone])

    assert after != gone
    if before != gone:
        assert after == before


def test_duties_are_spread():
    counts = collections.Counter(
        rendezvous.choose_vm(f"duty-{number}", VMS) for number in range(1200)
    )

    assert set(counts) == set(VMS)
    assert max(counts.values()) < 2 * 1200 / len(VMS)
