"""A leaving backend server gets no new work after a few seconds."""

from anvilwell_bench.audit import promise

LEAVE_LIMIT_S = 5.0


class LeavingServer(promise.Promise):
    """Looks for work that a server took after it was told to leave."""

    name = "leaving"

    def check(self, records):
        """Return a breach for each attempt that came too late."""
        taken = _taken(records)
        return [
            self.breach(
                f"{line['who']} took work {line['at'] - at:.1f} s after "
                f"it began to leave, the limit is {LEAVE_LIMIT_S:.0f} s",
                line["request_id"],
            )
            for server, at in _leaves(records)
            for line in taken
            if line["who"] == server and line["at"] > at + LEAVE_LIMIT_S
        ]

    def evidence(self, records):
        """Return how many servers left and had taken work before."""
        workers = {line["who"] for line in _taken(records)}
        return sum(server in workers for server, _at in _leaves(records))


def _leaves(records):
    told = [(line["server"], line["at"]) for line in records.of("leave")]
    stopped = [
        (line["server"], line["at"])
        for line in records.of("stop")
        if line["server"]
    ]
    return [*told, *stopped]


def _taken(records):
    kinds = ("start", "run", "lookup")
    return [line for line in records.lines if line["kind"] in kinds]
