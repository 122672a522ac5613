"""No event is lost between the loop's thread and the readers."""

import threading

from anvilwell_daemon.links import mailbox

READERS = 64
EVENTS = 200


def test_timeout_gives_none_and_later_events_still_come():
    box = mailbox.ThreadMailbox()
    assert box.get(0.001) is None
    assert box.get(-1) is None
    box.put("event")
    assert box.get(20) == "event"
    assert box.get(0.001) is None


def test_many_readers_get_all_their_events_in_order():
    boxes = [mailbox.ThreadMailbox() for _ in range(READERS)]
    seen_by_reader = {}

    def read(number):
        # Short timeouts race with the signals on purpose.
        seen = []
        while len(seen) < EVENTS:
            event = boxes[number].get(0.0005 * (number % 5))
            if event is not None:
                seen.append(event)
        seen_by_reader[number] = seen

    threads = [
        threading.Thread(target=read, args=(number,))
        for number in range(READERS)
    ]
    for thread in threads:
        thread.start()
    for event in range(EVENTS):
        for box in boxes:
            box.put(event)
    for thread in threads:
        thread.join(60)
    assert seen_by_reader == {
        number: list(range(EVENTS)) for number in range(READERS)
    }
