"""Runs the decisions' sequences of key-value calls."""

import typing

from anvilwell_daemon.configuration import meters
from anvilwell_decisions.configuration import flows
from anvilwell_decisions.configuration import proposal
from anvilwell_decisions.configuration import record as records
from anvilwell_decisions.configuration import registry
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs
from anvilwell_kernel import verdict as verdicts
from anvilwell_outside.ports import keyvalue as ports

_LOG = logs.get_logger(__name__)


class SwapAnswer(typing.NamedTuple):
    """How a conditional write ended; ``landed`` is None if unknown."""

    landed: bool | None
    never_sent: bool = False


class Store:
    """The key-value service as configuration uses it.

    Parameters
    ----------
    keyvalue : facade.KeyValueFacade
        The calls.
    sequence_of : callable
        Returns the latest sequence known here of a service's record.
    """

    def __init__(self, keyvalue, sequence_of):
        self._keyvalue = keyvalue
        self._sequence_of = sequence_of

    async def run(self, flow):
        """Carry out `flow`, a generator of ``flows``; return its result.

        Raises
        ------
        exceptions.MalformedMessage
            If a key holds what this release cannot read.
        """
        result = None
        while True:
            try:
                action = flow.send(result)
            except StopIteration as stop:
                return stop.value
            result = await self._carry_out(action)

    async def swap(self, action):
        """Carry out a `proposal.CompareAndSwap` and return a `SwapAnswer`."""
        swaps = [
            *(ports.Swap(*write) for write in action.writes),
            *(ports.Guard(*guard) for guard in action.guards),
        ]
        try:
            result = await self._keyvalue.swap(
                swaps, purpose=ports.Purpose.CONFIGURATION
            )
        except exceptions.KeyValueUnavailable as error:
            never_sent = error.verdict is verdicts.Verdict.NOT_RUN
            return SwapAnswer(None, never_sent)
        return SwapAnswer(result.landed)

    async def snapshot(self):
        """Return all records as documents, and the store's revision.

        Raises
        ------
        exceptions.KeyValueUnavailable
            If the service does not answer.
        """
        snapshot = await self._keyvalue.get_prefix(
            registry.RECORD_PREFIX, purpose=ports.Purpose.CONFIGURATION
        )
        return self._documents(snapshot), snapshot.revision

    def watch(self, from_revision, timeout_s):
        """Yield each ``ports.Change`` of a record."""
        return self._keyvalue.watch(
            registry.RECORD_PREFIX,
            from_revision,
            purpose=ports.Purpose.CONFIGURATION,
            timeout_s=timeout_s,
        )

    async def _carry_out(self, action):
        try:
            if isinstance(action, proposal.CompareAndSwap):
                return (await self.swap(action)).landed
            if isinstance(action, flows.ReadKey):
                return await self._read_key(action.key)
            return await self._read_records(action.service)
        except exceptions.KeyValueUnavailable as error:
            _LOG.log("unanswered", cause=error.message)
            return None

    async def _read_key(self, key):
        known = self._known(key)
        entry = await self._keyvalue.get(
            key, purpose=ports.Purpose.CONFIGURATION
        )
        slot = proposal.StoredValue(0, None)
        if entry is not None:
            slot = proposal.StoredValue(entry.revision, entry.value)
        if key.startswith(registry.RECORD_PREFIX):
            service = service_of(key)
            self._compare(records.decode(slot.value, service), known)
        return slot

    async def _read_records(self, service):
        if not service:
            documents, _ = await self.snapshot()
            return documents
        slot = await self._read_key(registry.record_key(service))
        record = records.decode(slot.value, service)
        return [records.document_of(record)]

    def _documents(self, snapshot):
        return [
            records.document_of(records.decode(entry.value, service_of(key)))
            for key, entry in sorted(snapshot.entries_by_key.items())
        ]

    def _known(self, key):
        if not key.startswith(registry.RECORD_PREFIX):
            return 0
        return self._sequence_of(service_of(key))

    def _compare(self, record, known):
        """Raise the alarm if a read is older than what was known."""
        if record.sequence >= known:
            return
        meters.count_behind(record.service)
        _LOG.log(
            "store-behind",
            service=record.service,
            sequence=record.sequence,
            known=known,
        )


def service_of(key):
    """Return the service whose record `key` is."""
    return key.removeprefix(registry.RECORD_PREFIX)
