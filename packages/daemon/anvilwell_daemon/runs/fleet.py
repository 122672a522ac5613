"""What a holder follows: replicas, and daemons that can keep copies."""

from anvilwell_daemon.runs import copies
from anvilwell_decisions.samples import versions
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import membership
from anvilwell_kernel.telemetry import logs

_LOG = logs.get_logger(__name__)


class MemberNeighbours(copies.Neighbours):
    """Daemons in other failure domains, from the membership.

    Entries come first, since one of them is the likely next holder.
    """

    def __init__(self, members):
        self._members = members

    def others(self):
        """Return VM ids in other failure domains, preferred first."""
        me = self._members.me
        found = [
            member
            for member in self._members.in_state(membership.State.LIVE)
            if member.failure_domain != me.failure_domain
        ]
        found.sort(key=lambda m: (m.role != "entry", m.vm_id))
        return [member.vm_id for member in found]


class ReplicaWatch:
    """Tells a holder of replicas that come, go or change.

    Parameters
    ----------
    service : str
        The service's name.
    replicas : daemon.entry.replicas.Replicas
        The replicas with links.
    holder : holder.Holder
        Who is told.
    """

    def __init__(self, service, replicas, holder):
        self._service = service
        self._replicas = replicas
        self._holder = holder
        self._facts_by_id = {}

    def look(self):
        """Tell what changed since the last look."""
        facts_by_id = {
            candidate.replica_id: facts
            for candidate in self._replicas.candidates(self._service)
            if (facts := _facts(candidate.load)) is not None
        }
        for replica_id in self._facts_by_id.keys() - facts_by_id.keys():
            self._holder.replica_lost(replica_id)
        for replica_id, facts in facts_by_id.items():
            if self._facts_by_id.get(replica_id) != facts:
                self._holder.replica(replica_id, *facts)
        self._facts_by_id = facts_by_id


class DocumentWatch:
    """Tells a holder of changes of its service's document.

    Parameters
    ----------
    read : callable
        Returns the ``Document``; refuses while there is none.
    holder : holder.Holder
        Who is told.
    """

    def __init__(self, read, holder):
        self._read = read
        self._holder = holder
        self._known = None

    def look(self):
        """Tell what changed; what can't be read or used leaves the rest."""
        try:
            document = self._read()
        except exceptions.AnvilwellError:
            return
        if document == self._known:
            return
        self._known = document
        self._holder.configure(document)
        self._tell_version(document)

    def _tell_version(self, document):
        try:
            version = versions.ordinal(document.model.version)
        except exceptions.BadRequest as error:
            name = document.service.name
            _LOG.log("version-unusable", service=name, cause=error.message)
            return
        self._holder.published(version)


def _facts(load):
    if load is None or load.limit < 1:
        return None
    try:
        return load.limit, versions.ordinal(load.version)
    except exceptions.BadRequest:
        return None
