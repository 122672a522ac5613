"""Which replicas an entry knows, from what is registered."""

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
    """Reads the start of a replica's life from an entry."""

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


def test_an_unreadable_entry_names_no_replica_and_the_others_hold():
    async def scenario(directory):
        _load(directory, x=b"1", y=b"1")
        _change(directory, "x", UNREADABLE)
        changed = _ids(directory)
        _load(directory, x=b"1", y=UNREADABLE, z=b"1")
        return changed, _ids(directory)

    assert _run(scenario) == (["y@1"], ["x@1", "z@1"])


def test_an_entry_that_can_be_read_again_names_its_replica():
    async def scenario(directory):
        _load(directory, x=UNREADABLE)
        _change(directory, "x", b"1")
        return _ids(directory)

    assert _run(scenario) == ["x@1"]


def test_a_new_life_under_the_same_id_takes_the_place_of_the_old():
    async def scenario(directory):
        _load(directory, x=b"1")
        versions = (facts.ModelVersion("m", 3),)
        note = notices.Notice(str(ADDRESS), versions, ("m",), 1)
        directory.apply_notice(note)
        (before,) = directory.usable()
        _change(directory, "x", b"2")
        # What the agent told of the earlier life comes late.
        directory.apply_notice(note)
        (after,) = directory.usable()
        return before, after

    before, after = _run(scenario)

    assert (before.replica_id, before.loading) == ("x@1", ("m",))
    assert after == facts.Replica(
        "x@2", "lm", ADDRESS, "a", 4, name="x", started_ms=2
    )


def test_an_old_life_is_gone_also_while_lapsed_entries_may_return():
    async def scenario(directory):
        _load(directory, x=b"1")
        directory.regained()
        _change(directory, "x", None)
        lapsed = _ids(directory)
        _change(directory, "x", b"2")
        return lapsed, _ids(directory)

    assert _run(scenario) == (["x@1"], ["x@2"])


def test_a_replica_that_is_another_now_comes_back_only_if_it_stays(
    run_virtual,
):
    async def scenario():
        directory = directories.Directory(_Store(), _Codec())
        told = []
        directory.listen(lambda _: told.append(_ids(directory)))
        _load(directory, x=b"1", y=b"1")
        directory.exclude("x@1")
        directory.exclude("gone@1")
        is_alive = directory.is_present("x@1")
        await asyncio.sleep(directories.EXCLUSION_S + 0.1)
        return is_alive, told

    is_alive, told = run_virtual(scenario())
    assert not is_alive
    assert told == [["x@1", "y@1"], ["y@1"], ["x@1", "y@1"]]


def test_the_next_life_of_a_replica_that_was_set_aside_is_used():
    async def scenario(directory):
        _load(directory, x=b"1")
        directory.exclude("x@1")
        _change(directory, "x", b"2")
        return _ids(directory)

    assert _run(scenario) == ["x@2"]


class _Whole(_Codec):
    """Reads address, draining and start from an entry."""

    def read_replica(self, key, value):
        port, is_draining, started_ms = value.decode().split()
        replica = super().read_replica(key, started_ms.encode())
        return replica._replace(
            address=options.Address("10.0.0.9", int(port)),
            is_draining=is_draining == "yes",
        )


def _told(run_virtual, scenario):
    """Run a scenario; return each `Changed`, with ids as a sorted list."""

    async def run():
        directory, told = directories.Directory(_Store(), _Whole()), []
        directory.listen(
            lambda changed: told.append(
                (sorted(changed.replica_ids), changed.is_membership)
            )
        )
        _load(directory, x=b"1 no 1", y=b"2 no 1")
        told.clear()
        await scenario(directory)
        return told

    return run_virtual(run())


def test_listeners_are_told_which_replicas_changed_and_how(run_virtual):
    async def scenario(directory):
        loading = notices.Notice("10.0.0.9:2", (), ("m",), 1)
        directory.apply_notice(loading)
        await asyncio.sleep(directories.MAX_LOAD_S / 2)
        assert directory.find_usable("y@1").loading == ("m",)
        await asyncio.sleep(directories.MAX_LOAD_S)
        assert directory.find_usable("y@1").loading == ()
        _change(directory, "x", b"1 yes 1")
        _change(directory, "y", None)

    assert _told(run_virtual, scenario) == [
        (["y@1"], False),
        (["y@1"], False),
        (["x@1"], True),
        (["y@1"], True),
    ]


def test_a_replica_that_drains_and_goes_is_told_of_twice(run_virtual):
    async def scenario(directory):
        _change(directory, "x", b"1 yes 1")
        _change(directory, "x", None)

    told = [(["x@1"], True), (["x@1"], True)]
    assert _told(run_virtual, scenario) == told


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from("xyz"),
            st.sampled_from([None, "1 no 1", "2 no 1", "2 yes 1", "1 no 2"]),
            st.sampled_from([None, "1", "2"]),
        )
    )
)
def test_the_indexes_are_what_the_registrations_say(run_virtual, steps):
    async def scenario(directory):
        for name, value, noted in steps:
            _change(directory, name, value and value.encode())
            if noted:
                note = notices.Notice(f"10.0.0.9:{noted}", (), ("m",))
                directory.apply_notice(note)
            replicas = directory.replicas_by_id.values()
            usable = {r.replica_id for r in replicas if not r.is_draining}
            assert {r.replica_id for r in directory.usable()} == usable
            assert {r.replica_id for r in directory.usable("lm")} == usable
            for port in "12":
                address = f"10.0.0.9:{port}"
                there = [r for r in replicas if str(r.address) == address]
                assert (directory.service_at(address) == "lm") == bool(there)

    _told(run_virtual, scenario)
