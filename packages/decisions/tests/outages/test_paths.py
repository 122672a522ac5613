"""Which path to the key-value service is used after which failures."""

import random

from hypothesis import stateful
from hypothesis import strategies as st

from anvilwell_decisions.outages import paths

VMS = ("entry-1", "entry-2", "entry-3")


def _choice(*peers):
    choice = paths.PathSelector(random.Random(1))
    choice.set_peers(peers)
    return choice


def _fail(choice, path, now):
    """Record the failure of a call that began and ended at `now`."""
    return choice.failed(path, now, now)


def _leave_direct(choice):
    for number in range(paths.FAILURES_TO_SWITCH):
        _fail(choice, paths.DIRECT, number * 0.1)


def test_one_failure_changes_nothing():
    choice = _choice("entry-1")
    assert not _fail(choice, paths.DIRECT, 0.0)
    choice.answered(paths.DIRECT)
    assert not _fail(choice, paths.DIRECT, 0.1)
    assert choice.current == paths.DIRECT


def test_calls_that_end_together_are_one_failure():
    choice = _choice("entry-1")
    for _ in range(4):
        # Four watches that have been open since 0.0 s are closed.
        assert not choice.failed(paths.DIRECT, 0.0, 1.0)
    assert choice.current == paths.DIRECT


def test_failures_in_a_row_switch_to_a_peer():
    choice = _choice("entry-1")
    assert not _fail(choice, paths.DIRECT, 0.0)
    assert _fail(choice, paths.DIRECT, 0.1)
    assert choice.current == "entry-1"


def test_without_peers_the_direct_path_stays():
    choice = _choice()
    _leave_direct(choice)
    assert choice.current == paths.DIRECT


def test_a_call_that_few_peers_may_relay_uses_one_of_them_or_none():
    """Guard against a body that a peer in another region relays."""
    choice = _choice(*VMS)
    _leave_direct(choice)
    current = choice.current
    (other, last) = sorted(set(VMS) - {current})
    assert choice.path_through({other}.__contains__, 0.2) == other
    _fail(choice, other, 0.2)
    assert choice.path_through({other}.__contains__, 0.3) == paths.DIRECT
    assert choice.path_through({other, last}.__contains__, 0.3) == last
    assert choice.current == current


def test_a_failing_peer_is_replaced_by_another():
    choice = _choice("entry-1", "entry-2")
    _leave_direct(choice)
    first = choice.current
    assert _fail(choice, first, 0.2)
    assert choice.current in {"entry-1", "entry-2"} - {first}


def test_once_all_peers_failed_the_direct_path_is_tried():
    choice = _choice("entry-1")
    _leave_direct(choice)
    assert _fail(choice, "entry-1", 0.2)
    assert choice.current == paths.DIRECT


def test_the_direct_path_is_kept_for_a_while_in_a_full_outage():
    choice = _choice("entry-1")
    _leave_direct(choice)
    _fail(choice, "entry-1", 0.2)
    for number in range(20):
        assert not _fail(choice, paths.DIRECT, 0.3 + number * 0.1)
    assert _fail(choice, paths.DIRECT, 0.2 + paths.DIRECT_HOLD_S)


def test_a_response_on_the_direct_path_ends_the_use_of_a_peer():
    choice = _choice("entry-1")
    _leave_direct(choice)
    assert choice.answered(paths.DIRECT)
    assert choice.current == paths.DIRECT


def test_late_failures_of_an_abandoned_path_change_nothing():
    choice = _choice("entry-1", "entry-2")
    _leave_direct(choice)
    taken = choice.current
    assert not _fail(choice, paths.DIRECT, 0.3)
    assert choice.current == taken


def test_a_lost_peer_is_not_used():
    choice = _choice("entry-1")
    _leave_direct(choice)
    assert choice.set_peers(())
    assert choice.current == paths.DIRECT


class PathMachine(stateful.RuleBasedStateMachine):
    """Paths that work and fail in any order, and peers that change."""

    def __init__(self):
        super().__init__()
        self.choice = _choice(*VMS)
        self.peers = set(VMS)
        self.works = {paths.DIRECT: True} | dict.fromkeys(VMS, True)
        self.now = 0.0

    @stateful.rule(path=st.sampled_from((paths.DIRECT, *VMS)))
    def toggle(self, path):
        self.works[path] = not self.works[path]

    @stateful.rule(peers=st.sets(st.sampled_from(VMS)))
    def replace_peers(self, peers):
        self.peers = peers
        self.choice.set_peers(peers)

    @stateful.rule()
    def call(self):
        path = self.choice.current
        if self.works[path]:
            assert not self.choice.answered(path)
        else:
            _fail(self.choice, path, self.now)
        self.now += 0.1

    @stateful.rule()
    def probe(self):
        if self.works[paths.DIRECT]:
            self.choice.answered(paths.DIRECT)
            assert self.choice.current == paths.DIRECT

    @stateful.rule()
    def a_working_path_is_found(self):
        usable = {p for p in self.peers | {paths.DIRECT} if self.works[p]}
        if not usable:
            return
        # Enough time for each peer to be paused and tried again.
        for _ in range(100):
            if self.choice.current in usable:
                return
            _fail(self.choice, self.choice.current, self.now)
            self.now += paths.PEER_PAUSE_S / 4
        raise AssertionError(f"stuck on {self.choice.current!r}")

    @stateful.invariant()
    def only_known_peers_are_used(self):
        assert self.choice.current in self.peers | {paths.DIRECT}


TestPathMachine = PathMachine.TestCase
