from anvilwell_kernel import web
from anvilwell_standins.base import faults
from anvilwell_standins.base import server
from anvilwell_standins.programs import entries

GONE = entries.Entry("gone", "127.0.0.1:1")
OTHER = entries.Entry("other", "127.0.0.1:2")


def test_entries_are_taken_in_turn():
    found = entries.Entries([GONE, OTHER])
    assert [found.take().name for _ in range(4)] == [
        "gone",
        "other",
        "gone",
        "other",
    ]


def test_entry_that_lost_a_call_is_left_out():
    found = entries.Entries([GONE, OTHER])
    lost = found.call(GONE, "GET", "/", headers={}, timeout_s=1.0)
    assert lost is entries.LOST
    assert [found.take().name for _ in range(3)] == ["other"] * 3


def test_all_that_lost_calls_are_taken_in_turn():
    found = entries.Entries([GONE, OTHER])
    found.avoid(GONE)
    found.avoid(OTHER)
    assert {found.take().name for _ in range(2)} == {"gone", "other"}


class Quiet(server.StandIn):
    def __init__(self):
        super().__init__()
        self.route("/wait", lambda request: web.json_response({}))


def test_an_answer_may_take_longer_than_connecting(monkeypatch):
    monkeypatch.setattr(entries, "CONNECT_TIMEOUT_S", 0.2)
    with Quiet() as quiet:
        quiet.faults.add(faults.Fault("slow", seconds=0.5))
        found = entries.Entries([OTHER])
        entry = entries.Entry("quiet", quiet.address)
        reply = found.call(entry, "GET", "/wait", headers={}, timeout_s=20.0)
    assert reply.status == 200
