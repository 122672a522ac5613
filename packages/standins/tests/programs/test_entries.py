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
