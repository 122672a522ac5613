"""Tests which replicas the directory keeps, given the registrations."""

import asyncio

from anvilwell_decisions.traffic import facts
from anvilwell_gateway import directory as directories
from anvilwell_gateway import notices
from anvilwell_kernel.config import options
from anvilwell_kernel import exceptions
from anvilwell_outside.ports import keyvalue
import hypothesis
from hypothesis import strategies as st

ADDRESS = options.Address("10.0.0.9", 8080)
UNREADABLE = b"?"


class _Codec:
    """Decodes the start time of a replica's incarnation from an entry."""

    replicas_prefix = "r/"

    def read_replica(self, key, value):
        if value == UNREADABLE:
            raise exceptions.ConfigurationError([])
        name, started_ms = key.removeprefix("r/"), int(value)
        return facts.Replica(
            f"{name}@{started_ms}",
            "lm",
            ADDRESS,
            "a",
            4,
            name=name,
            started_ms=started_ms,
        )


class _Store:
    answered_at = float("-inf")

    def listen_regained(self, callback):
        pass


def _run(scenario):
    async def run():
        return await scenario(directories.Directory(_Store(), _Codec()))

    return asyncio.run(run())


def _load(directory, **values_by_name):
    directory.load(
        {
            f"r/{name}": keyvalue.Entry(f"r/{name}", value, 1)
            for name, value in values_by_name.items()
        }
    )


def _change(directory, name, value):
    directory.change(keyvalue.Change(f"r/{name}", value, 2))


def _ids(directory):
    return sorted(one.replica_id for one in directory.usable())


def test_an_undecodable_entry_removes_its_replica_only():
    async def scenario(directory):
        _load(directory, x=b"1", y=b"1")
        _change(directory, "x", UNREADABLE)
        changed = _ids(directory)
        _load(directory, x=b"1", y=UNREADABLE, z=b"1")
        return changed, _ids(directory)

    assert _run(scenario) == (["y@1"], ["x@1", "z@1"])


def test_an_entry_that_can_be_decoded_again_adds_its_replica():
    async def scenario(directory):
        _load(directory, x=UNREADABLE)
        _change(directory, "x", b"1")
        return _ids(directory)

    assert _run(scenario) == ["x@1"]


def test_a_new_incarnation_under_the_same_id_replaces_the_old_one():
    async def scenario(directory):
        _load(directory, x=b"1")
        versions = (facts.ModelVersion("m", 3),)
        notice = notices.Notice(str(ADDRESS), versions, ("m",), 1)
        directory.apply_notice(notice)
        (before,) = directory.usable()
        _change(directory, "x", b"2")
        # The agent's notice of the earlier incarnation arrives late.
        directory.apply_notice(notice)
        (after,) = directory.usable()
        return before, after

    before, after = _run(scenario)

    assert (before.replica_id, before.loading) == ("x@1", ("m",))
    assert after == facts.Replica(
        "x@2", "lm", ADDRESS, "a", 4, name="x", started_ms=2
    )


def test_an_old_incarnation_is_removed_also_while_lapsed_entries_may_return():
    async def scenario(directory):
        _load(directory, x=b"1")
        directory.regained()
        _change(directory, "x", None)
        lapsed = _ids(directory)
        _change(directory, "x", b"2")
        return lapsed, _ids(directory)

    assert _run(scenario) == (["x@1"], ["x@2"])


def test_an_excluded_replica_is_readmitted_if_still_registered(
    run_virtual,
):
    async def scenario():
        directory = directories.Directory(_Store(), _Codec())
        reported = []
        directory.listen(lambda _: reported.append(_ids(directory)))
        _load(directory, x=b"1", y=b"1")
        directory.exclude("x@1")
        directory.exclude("gone@1")
        is_alive = directory.is_present("x@1")
        await asyncio.sleep(directories.EXCLUSION_S + 0.1)
        return is_alive, reported

    is_alive, reported = run_virtual(scenario())
    assert not is_alive
    assert reported == [["x@1", "y@1"], ["y@1"], ["x@1", "y@1"]]


def test_the_next_incarnation_of_an_excluded_replica_is_used():
    async def scenario(directory):
        _load(directory, x=b"1")
        directory.exclude("x@1")
        _change(directory, "x", b"2")
        return _ids(directory)

    assert _run(scenario) == ["x@2"]


class _FullCodec(_Codec):
    """Decodes address, draining state and start time from an entry."""

    def read_replica(self, key, value):
        port, is_draining, started_ms = value.decode().split()
        replica = super().read_replica(key, started_ms.encode())
        return replica._replace(
            address=options.Address("10.0.0.9", int(port)),
            is_draining=is_draining == "yes",
        )


def _collect_changes(run_virtual, scenario):
    """Run a scenario; return the sorted ids and kind of each change."""

    async def run():
        directory, reported = directories.Directory(_Store(), _FullCodec()), []
        directory.listen(
            lambda changed: reported.append(
                (sorted(changed.replica_ids), changed.is_membership)
            )
        )
        _load(directory, x=b"1 no 1", y=b"2 no 1")
        reported.clear()
        await scenario(directory)
        return reported

    return run_virtual(run())


def test_listeners_learn_which_replicas_changed_and_how(run_virtual):
    async def scenario(directory):
        loading = notices.Notice("10.0.0.9:2", (), ("m",), 1)
        directory.apply_notice(loading)
        await asyncio.sleep(directories.MAX_LOAD_S / 2)
        assert directory.find_usable("y@1").loading == ("m",)
        await asyncio.sleep(directories.MAX_LOAD_S)
        assert directory.find_usable("y@1").loading == ()
        _change(directory, "x", b"1 yes 1")
        _change(directory, "y", None)

    assert _collect_changes(run_virtual, scenario) == [
        (["y@1"], False),
        (["y@1"], False),
        (["x@1"], True),
        (["y@1"], True),
    ]


def test_draining_and_removal_of_a_replica_are_reported_separately(
    run_virtual,
):
    async def scenario(directory):
        _change(directory, "x", b"1 yes 1")
        _change(directory, "x", None)

    reported = [(["x@1"], True), (["x@1"], True)]
    assert _collect_changes(run_virtual, scenario) == reported


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from("xyz"),
            st.sampled_from([None, "1 no 1", "2 no 1", "2 yes 1", "1 no 2"]),
            st.sampled_from([None, "1", "2"]),
        )
    )
)
def test_the_indexes_match_the_registrations(run_virtual, steps):
    async def scenario(directory):
        for name, value, notice_port in steps:
            _change(directory, name, value and value.encode())
            if notice_port:
                notice = notices.Notice(f"10.0.0.9:{notice_port}", (), ("m",))
                directory.apply_notice(notice)
            replicas = directory.replicas_by_id.values()
            usable = {r.replica_id for r in replicas if not r.is_draining}
            assert {r.replica_id for r in directory.usable()} == usable
            assert {r.replica_id for r in directory.usable("lm")} == usable
            for port in "12":
                address = f"10.0.0.9:{port}"
                expected = [r for r in replicas if str(r.address) == address]
                assert (directory.service_at(address) == "lm") == bool(
                    expected
                )

    _collect_changes(run_virtual, scenario)
