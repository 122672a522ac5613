"""Which service a run belongs to, and who holds its ledger."""

from anvilwell_decisions.leases import leadership
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_outside.ports import keyvalue

PREFIX = "/anvilwell/runs"
HOLDER_KEPT_S = 1.0
RETRY_S = 1.0


def lease_name(service):
    """Return the name of the leadership of a service's runs."""
    return f"runs/{service}"


class Location:
    """Looks runs and holders up in the key-value service.

    Parameters
    ----------
    store : daemon.keyvalue.facade.KeyValueFacade
        The key-value service.
    clock : clock.Clock
        Source of time.
    """

    def __init__(self, store, clock):
        self._store = store
        self._clock = clock
        self._services_by_run = {}
        self._holders_by_service = {}

    async def bind(self, run, service):
        """Let `run` belong to `service` for ever.

        Raises
        ------
        exceptions.Conflict
            If it belongs to another service.
        """
        if run not in self._services_by_run:
            await self._bind(run, service)
        bound = self._services_by_run[run]
        if bound != service:
            raise exceptions.Conflict(
                f"run {run} belongs to service {bound}; a run never "
                "changes its service, so use another run's name"
            )

    async def service(self, run):
        """Return the service of `run`.

        Raises
        ------
        exceptions.NotFound
            If no step of it was ever submitted.
        """
        if run not in self._services_by_run:
            entry = await self._store.get(
                _key(run), purpose=keyvalue.Purpose.LEDGER
            )
            if entry is None:
                raise exceptions.NotFound(
                    f"run {run} is not known; submit a step first"
                )
            self._services_by_run[run] = entry.value.decode()
        return self._services_by_run[run]

    async def runs(self, service):
        """Return the names of all runs of `service`."""
        snapshot = await self._store.get_prefix(
            f"{PREFIX}-services/", purpose=keyvalue.Purpose.LEDGER
        )
        return [
            key.rpartition("/")[2]
            for key, entry in snapshot.entries_by_key.items()
            if entry.value.decode() == service
        ]

    async def holder(self, service, *, fresh=False):
        """Return the VM id of the entry that holds the service's runs.

        Raises
        ------
        exceptions.Refused
            If nobody holds them now.
        """
        now = self._clock.monotonic()
        vm_id, until = self._holders_by_service.get(service, ("", 0.0))
        if fresh or until <= now:
            vm_id = await self._read_holder(service)
            kept = (vm_id, now + HOLDER_KEPT_S)
            self._holders_by_service[service] = kept
        if not vm_id:
            raise exceptions.Refused(
                f"no entry holds the runs of {service} now; ask again",
                reason=reasons.Refusal.NOT_LEADER,
                retry_after=RETRY_S,
            )
        return vm_id

    async def _bind(self, run, service):
        swap = keyvalue.Swap(_key(run), 0, service.encode())
        await self._store.swap([swap], purpose=keyvalue.Purpose.LEDGER)
        await self.service(run)

    async def _read_holder(self, service):
        key = leadership.keys(lease_name(service)).holder
        entry = await self._store.get(key, purpose=keyvalue.Purpose.LEDGER)
        if entry is None:
            return ""
        return leadership.HOLDER_ADAPTER.validate_json(entry.value).vm_id


def _key(run):
    return f"{PREFIX}-services/{run}"
