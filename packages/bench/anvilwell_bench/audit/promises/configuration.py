"""An accepted configuration is in force everywhere and stays so."""

import itertools
import math

from anvilwell_bench.audit import promise
from anvilwell_bench.audit import reader

ORDER_LIMIT_S = 5.0
_IN_FORCE = "in-force"
_ORDERS_OF_VERSION = ("load", "activate")


class ConfigurationInForce(promise.Promise):
    """Compares accepted documents with what daemons and engines do."""

    name = "configuration"

    def check(self, records):
        """Return breaches seen by probes and in the engines' orders."""
        return [
            *self._check_late(records),
            *self._check_reverts(records),
            *self._check_unseen(records),
            *self._check_orders(records),
        ]

    def evidence(self, records):
        """Return how many probes came after an accepted document."""
        return sum(
            probe["at"] > apply["at"] and probe["service"] == apply["service"]
            for apply in _accepted(records)
            for probe in records.of("probe")
        )

    def _check_late(self, records):
        return [
            self.breach(
                f"{probe['daemon']} has generation {probe['generation']} of "
                f"{probe['service']} after {apply['generation']} was in "
                "force",
                apply["change_id"],
            )
            for apply in _accepted(records)
            for probe in records.of("probe")
            if probe["service"] == apply["service"]
            and probe["at"] > apply["at"]
            and probe["generation"] < apply["generation"]
        ]

    def _check_reverts(self, records):
        probes = reader.group_by(records.of("probe"), "daemon", "service")
        for (daemon, service), seen in probes.items():
            for earlier, later in itertools.pairwise(seen):
                if later["generation"] < earlier["generation"]:
                    yield self.breach(
                        f"{daemon} went back from generation "
                        f"{earlier['generation']} to "
                        f"{later['generation']} of {service}",
                        daemon,
                    )

    def _check_unseen(self, records):
        daemons = {line["daemon"] for line in records.of("probe")}
        ended_at = _ends_by_daemon(records)
        for apply, daemon in itertools.product(_accepted(records), daemons):
            seen = any(
                probe["at"] > apply["at"]
                and probe["daemon"] == daemon
                and probe["service"] == apply["service"]
                for probe in records.of("probe")
            )
            if not seen and daemon not in ended_at:
                yield self.breach(
                    f"no probe of {daemon} after generation "
                    f"{apply['generation']} of {apply['service']}",
                    apply["change_id"],
                )

    def _check_orders(self, records):
        orders = [
            line
            for line in records.of("order")
            if line["order"] in _ORDERS_OF_VERSION
        ]
        for line in orders:
            wanted = _wanted_versions(records, line["at"])
            if wanted and line["argument"] not in wanted:
                yield self.breach(
                    f"{line['who']} was ordered to {line['order']} version "
                    f"{line['argument']}, documents said {sorted(wanted)}",
                    line["who"],
                )


def _accepted(records):
    return [
        line for line in records.of("apply") if line["outcome"] == _IN_FORCE
    ]


def _ends_by_daemon(records):
    return {
        **{line["daemon"]: line["at"] for line in records.of("stop")},
        **{line["process"]: line["at"] for line in records.of("kill")},
    }


def _wanted_versions(records, at):
    """Return the versions that an order may name at a time.

    Operators ask for versions in documents, trainers when they have
    published them. An order may name the version asked for last, any
    that it replaced less than ORDER_LIMIT_S ago, and any asked for
    later: an order may precede the answer to the one who asked.
    """
    asked = sorted(
        (line["at"], line["version"])
        for line in [*_accepted(records), *records.of("version")]
        if line["version"]
    )
    if not any(asked_at < at for asked_at, _version in asked):
        return set()
    limits = [later for later, _version in asked[1:]] + [math.inf]
    return {
        version
        for (_asked_at, version), replaced_at in zip(
            asked, limits, strict=True
        )
        if replaced_at + ORDER_LIMIT_S >= at
    }
