"""The service ``replicas``: links to the agents that can take calls."""

import asyncio
import random
import threading
import typing

from anvilwell_daemon.entry import targets
from anvilwell_daemon.links import data_link
from anvilwell_decisions.requests import ejection
from anvilwell_decisions.requests import facts
from anvilwell_decisions.requests import routing
from anvilwell_kernel import clock as clocks
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import membership as member_messages
from anvilwell_kernel import reasons
from anvilwell_kernel import services

SLOW_START_S = 5.0
MAX_LINKS = 48
# A subset that is of no use for so long is widened.
EMPTY_S = 1.0
WIDE_S = 30.0
IDLE_POLL_S = 0.25


class Candidate(typing.NamedTuple):
    """What an entry knows of a replica that takes requests.

    ``in_flight`` is this entry's own count; ``load`` is the agent's
    last report, None before the first.
    """

    replica_id: str
    failure_domain: str
    in_flight: int
    load: typing.Any


class Replicas(services.Service):
    """Keeps links to agents and tells the routing policies of them.

    Parameters
    ----------
    hello : links.Hello
        Who this entry is.
    addresses : iterable of str
        ``host:port`` of the agents known without membership.
    clock : clock.Clock
        Source of time.
    source : random.Random
        Source of the jitter and of the policies' draws.
    new_policy : callable
        Makes the `routing.Policy` of one service.
    max_links : int
        Replicas of each service to link to, of those that the
        membership knows.
    """

    name = "replicas"

    def __init__(
        self,
        hello,
        addresses=(),
        clock=None,
        source=None,
        new_policy=None,
        max_links=MAX_LINKS,
    ):
        self._hello = hello
        self._addresses = tuple(addresses)
        self._clock = clock or clocks.SystemClock()
        self._random = source or random.Random()
        self._new_policy = new_policy or _new_policy
        self._links_by_address = {}
        self._links_by_id = {}
        self._tasks_by_address = {}
        self._policies_by_service = {}
        self._targets = targets.Targets(
            hello.vm_id, hello.failure_domain, max_links
        )
        self._touched = set()
        self._empty_since_by_service = {}
        self._loop = None
        # Policies aren't safe for threads, and handlers choose on theirs.
        self._lock = threading.Lock()

    async def start(self, kernel):
        """Dial the agents, and follow the membership if there is one."""
        self._loop = asyncio.get_running_loop()
        for address in self._addresses:
            self.dial(address)
        if not self._addresses and kernel.has("membership"):
            membership = kernel.get("membership")
            membership.subscribe(self._follow)
            for member in list(membership.members_by_id.values()):
                self._follow(None, member)

    async def stop(self):
        """Close every link."""
        tasks = list(self._tasks_by_address.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def dial(self, address):
        """Keep a link to the agent at `address`."""
        if address in self._links_by_address:
            self._links_by_address[address].stay()
            return
        link = data_link.DataLink(
            address, self._hello, self._random, self._changed
        )
        self._links_by_address[address] = link
        self._tasks_by_address[address] = asyncio.create_task(link.run())

    def hang_up(self, address):
        """Drop the link to `address`; what it carries is lost."""
        link = self._links_by_address.pop(address, None)
        if link:
            link.leave()
            self._tasks_by_address.pop(address).cancel()

    def leave(self, address):
        """Send no new requests to `address`."""
        link = self._links_by_address.get(address)
        if link:
            link.leave()

    def want_all(self, service):
        """Link to every replica of `service` until ``release``."""
        self._look_at(self._targets.want_all(service))

    def release(self, service):
        """Undo one ``want_all``; links end as they become idle."""
        self._look_at(self._targets.release(service))

    @property
    def addresses(self):
        """Where links go to, in order."""
        return sorted(self._links_by_address)

    def link(self, replica_id):
        """Return the link to the replica called `replica_id`.

        Raises
        ------
        exceptions.Refused
            If there is no such link now.
        """
        link = self._links_by_id.get(replica_id)
        if link is None:
            raise exceptions.Refused(
                f"no link to replica {replica_id!r}",
                reason=reasons.Refusal.NO_REPLICA,
            )
        return link

    def choose(self, request):
        """Return the id of the replica for a `facts.RequestFacts`.

        Raises
        ------
        exceptions.Refused
            If no replica takes such requests now.
        """
        with self._lock:
            policy = self._policies_by_service.get(request.service)
            replica_id = None
            if policy is not None:
                replica_id = policy.choose(request, self._now())
        if replica_id is None:
            self._loop.call_soon_threadsafe(self._missed, request.service)
            raise exceptions.Refused(
                f"no replica of {request.service!r} takes requests now",
                reason=reasons.Refusal.NO_REPLICA,
                retry_after=1.0,
            )
        return replica_id

    def started(self, service, replica_id):
        """Count an attempt that goes to a replica."""
        with self._lock:
            policy = self._policies_by_service.get(service)
            if policy:
                policy.started(replica_id, self._now())

    def ended(self, service, ended):
        """Count the end of an attempt (a `facts.AttemptEnd`)."""
        with self._lock:
            policy = self._policies_by_service.get(service)
            if policy:
                policy.ended(ended, self._now())

    def candidates(self, service):
        """Return a `Candidate` for each replica that takes requests."""
        return [
            Candidate(
                link.peer.vm_id,
                link.peer.failure_domain,
                link.in_flight,
                link.load,
            )
            for link in list(self._links_by_id.values())
            if link.takes_requests and link.peer.service == service
        ]

    def _follow(self, before, member):
        if member.role != "agent":
            return
        if before is not None and before.address != member.address:
            self.hang_up(before.address)
        if member.state is member_messages.State.DEAD:
            self.hang_up(member.address)
        if member.state in _GOING:
            self._look_at(self._targets.down(member))
        else:
            self._look_at(self._targets.up(member))

    def _look_at(self, members):
        """Dial or retire `members` soon, once for many changes."""
        if not self._touched:
            self._loop.call_soon(self._settle)
        self._touched.update(member.address for member in members)

    def _settle(self):
        touched = sorted(self._touched)
        self._touched.clear()
        for address in touched:
            if self._targets.wants(address):
                self.dial(address)
            elif address in self._links_by_address:
                self.leave(address)
                self._end_idle(address, self._links_by_address[address])

    def _end_idle(self, address, link):
        """Drop a link that was left, once it carries nothing."""
        is_current = self._links_by_address.get(address) is link
        if not is_current or not link.has_left:
            return
        if link.in_flight:
            self._loop.call_later(IDLE_POLL_S, self._end_idle, address, link)
        else:
            self.hang_up(address)

    def _missed(self, service):
        """Reach beyond the subset if none of it takes requests."""
        if self.candidates(service):
            self._empty_since_by_service.pop(service, None)
            return
        now = self._now()
        since = self._empty_since_by_service.setdefault(service, now)
        if now - since >= EMPTY_S:
            self._empty_since_by_service[service] = now
            if not self._targets.is_wide(service):
                self._loop.call_later(WIDE_S, self._narrow, service)
            self._look_at(self._targets.widen(service))

    def _narrow(self, service):
        subset = self._targets.subset(service)
        if any(c.replica_id in subset for c in self.candidates(service)):
            self._look_at(self._targets.narrow(service))
        else:
            self._loop.call_later(WIDE_S, self._narrow, service)

    def _changed(self, link):
        peer = link.peer
        with self._lock:
            policy = self._policies_by_service.get(peer.service)
            if policy is None:
                policy = self._new_policy(self._random)
                self._policies_by_service[peer.service] = policy
            if link.takes_requests:
                self._empty_since_by_service.pop(peer.service, None)
                self._up(policy, link)
            else:
                policy.replica_down(peer.vm_id, self._now())
        if link.state is data_link.State.DOWN:
            self._links_by_id.pop(peer.vm_id, None)
        else:
            self._links_by_id[peer.vm_id] = link

    def _up(self, policy, link):
        peer, load, now = link.peer, link.load, self._now()
        versions = frozenset([load.version] if load and load.version else [])
        policy.replica_up(
            facts.ReplicaFacts(peer.vm_id, peer.failure_domain, versions), now
        )
        if load:
            report = facts.LoadReport(
                peer.vm_id, load.running + load.queued, load.own, load.limit
            )
            policy.report(report, now)

    def _now(self):
        return self._clock.monotonic()


_GOING = (member_messages.State.LEAVING, member_messages.State.DEAD)


def _new_policy(source):
    inner = routing.PrefixAffinity(source, slow_start_s=SLOW_START_S)
    return ejection.OutlierEjection(source, inner)
