"""Assembles the parts that handle the batches of one entry."""

import asyncio

from anvilwell_decisions.requests import byte_budget
from anvilwell_gateway.batches import homes as all_homes
from anvilwell_gateway.batches import intake as intakes
from anvilwell_gateway.batches import manager as managers
from anvilwell_gateway.batches import notice_subscribers
from anvilwell_gateway.batches import opening
from anvilwell_gateway.batches import owner_client
from anvilwell_gateway.batches import owners
from anvilwell_gateway.batches import records
from anvilwell_gateway.batches import relocation
from anvilwell_gateway.batches import request_handler as request_handlers
from anvilwell_gateway.batches import retention
from anvilwell_gateway.batches import runner as runners
from anvilwell_gateway.batches import slot_sharing
from anvilwell_gateway.batches import submission_forwarding
from anvilwell_gateway.batches import takeovers
from anvilwell_gateway.http import server as servers
from anvilwell_gateway import notices
from anvilwell_kernel import exceptions

# How the memory for the bodies of submissions is reserved. Trainers have few
# retries, and room comes back as open batches finish their items.
BODY_POLICY = servers.BodyPolicy(
    share=byte_budget.BATCH_SHARE, retry_after_s=1.0
)
# Interval at which start-up polls whether takeovers may begin, in seconds.
POLL_INTERVAL_S = 0.02


class Batches:
    """All parts of an entry that handle batches.

    Parameters
    ----------
    platform : platforms.Platform
        The adapter to the platform.
    fleet : fleet.Fleet
        The local copies of the store's data.
    live_calls : live_calls.LiveCalls
        Forwards scoring calls and tracks the items that crash replicas.
    pool : connection_pool.Pool
        Connections to replicas.
    budget : byte_budget.ByteBudget
        Limits the bytes buffered for callers.
    """

    body_policy = BODY_POLICY

    def __init__(self, platform, fleet, live_calls, pool, budget):
        self._fleet = fleet
        batch_store = records.BatchStore(fleet.store)
        self._owners = owners.Owners(fleet.store)
        fleet.add_follower(self._owners)
        homes = all_homes.Homes(
            fleet.cluster_state,
            fleet.directory,
            self._owners,
            fleet.residency,
        )
        self.slot_sharing = slot_sharing.SlotSharing(
            fleet.vm_id, fleet.cluster_state, homes
        )
        self.manager = managers.BatchManager(
            batch_store,
            fleet.directory,
            fleet.configuration,
            runners.Runner(
                platform.dialect, pool, fleet.directory.may_receive
            ),
            live_calls.forwarder,
            platform.dialect,
            self.slot_sharing,
            budget,
            fleet.residency,
            live_calls.cold_replicas,
            pool.idle_count if fleet.regions.has_several else None,
        )
        live_calls.cold_replicas.homes_of = homes.all
        live_calls.cold_replicas.domains_by_home_of = homes.domains_by_home
        live_calls.cold_replicas.borrowed_slots = self.slot_sharing.borrowed
        fleet.store.listen_regained(self.manager.retry_failed_saves)
        self.notices = notices.NoticeHandler(
            fleet.directory,
            self.manager.min_versions_by_model,
            notice_subscribers.NoticeSubscribers(
                fleet.cluster_state, self._owners, fleet.configuration, homes
            ),
        )
        self._submission_forwarder = submission_forwarding.SubmissionForwarder(
            fleet.vm_id, fleet.cluster_state, homes, fleet.residency
        )
        opener = opening.BatchOpener(
            self.manager, self._owners, fleet.cluster_state
        )
        self._takeovers = takeovers.Takeovers(
            batch_store,
            opener,
            self.manager,
            fleet.presence,
            fleet.cluster_state,
            self._owners,
            platform.dialect,
            homes,
            fleet.residency,
            budget,
        )
        self._intake = intakes.Intake(
            batch_store,
            opener,
            self._takeovers,
            self.manager,
            fleet.presence,
            platform.dialect,
            self._submission_forwarder,
            fleet.residency,
            budget,
        )
        self.owner_client = owner_client.OwnerClient(
            self._owners,
            fleet.cluster_state,
            fleet.vm_id,
            fleet.failure_domain,
        )
        self.retention = retention.Retention(
            batch_store,
            self.manager,
            self._owners,
            fleet.cluster_state,
            fleet.vm_id,
            fleet.residency,
        )
        self.request_handler = request_handlers.BatchRequestHandler(
            batch_store,
            self.manager,
            self._intake,
            platform.dialect,
            self._owners,
            fleet.cluster_state,
            self.owner_client,
            budget,
            self._can_confirm_ownership,
            fleet.residency,
        )
        self._relocator = relocation.Relocator(
            self.manager, fleet.directory, fleet.residency
        )
        fleet.cluster_state.listen_entries(self._relocator.hand_over)
        self._start_task = None

    @classmethod
    def from_config(
        cls, platform, fleet, live_calls, pool, peer_server, budget
    ):
        """Build an entry's batches and register their peer requests."""
        batches = cls(platform, fleet, live_calls, pool, budget)
        peer_server.handle(
            submission_forwarding.TARGET,
            batches.accept_forwarded,
            BODY_POLICY,
        )
        peer_server.handle(
            owner_client.TARGET, batches.request_handler.read_for_peer
        )
        peer_server.handle(
            owner_client.END_TARGET, batches.request_handler.end_for_peer
        )
        peer_server.handle(
            slot_sharing.TARGET, batches.slot_sharing.handle_request
        )
        peer_server.handle(notices.TARGET, batches.notices.answer)
        return batches

    def start(self):
        """Start the deletion of old batches and, once possible, takeovers."""
        self.retention.start()
        self._start_task = asyncio.create_task(self._start_takeovers())

    async def _start_takeovers(self):
        """Start takeovers once owners, live entries and routes are loaded.

        The first ones are batches of this VM's earlier incarnation.
        """
        while not (
            self._fleet.cluster_state.is_loaded
            and self._owners.is_loaded
            and self._fleet.configuration.current
        ):
            await asyncio.sleep(POLL_INTERVAL_S)
        self._takeovers.start()

    def refuse_new(self):
        """Refuse new batches because this VM is stopping."""
        self._intake.is_draining = True
        self._takeovers.is_draining = True

    async def release(self):
        """Release all batches so that other entries take them over."""
        await self._intake.stop()
        await self._takeovers.stop()
        await self.manager.release()

    async def stop(self):
        """Stop all tasks and close the connections."""
        if self._start_task:
            self._start_task.cancel()
        await self.retention.stop()
        await self._intake.stop()
        await self._takeovers.stop()
        await self.manager.stop()
        self.owner_client.close()
        self._submission_forwarder.close()
        self.slot_sharing.close()

    async def accept_forwarded(self, request, responder):
        """Accept a batch that another entry has forwarded."""
        submission_request = submission_forwarding.read_request(request)
        route = self._fleet.configuration.routes.find(
            submission_request.host, submission_request.path
        )
        if route is None or not route.is_batch:
            raise exceptions.Refused("this entry has no such batch route")
        await self.request_handler.submit_forwarded(
            route, submission_request, responder
        )

    def _can_confirm_ownership(self):
        """Return whether no other process can own a batch of this one.

        While this process's lease was lapsed, others may have taken its
        batches over, so the owners must have been loaded since then.
        """
        presence = self._fleet.presence
        has_current_owners = self._owners.loaded_at > presence.lapsed_at
        return has_current_owners and presence.can_confirm_ownership()
