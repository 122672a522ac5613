"""Moves one engine to a version that a trainer has named."""

import asyncio

from anvilwell_gateway import engine as engines
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

POLL_INTERVAL_S = 0.1
# Between tries of an order that failed, or that may not be given yet.
RETRY_INTERVAL_S = 0.3

_LOG = logs.get_logger(__name__)


class VersionLoader:
    """Orders until an engine has what was wanted when that began.

    A newer version may be the turn of others: the items of its step need
    an engine that isn't loading.

    Parameters
    ----------
    engine : engine.Engine
        The engine.
    address : options.Address
        Where it serves; names it among all engines.
    vm_id : str
        Who orders.
    claims : engine_claims.EngineClaims
        Whether this VM may.
    versions : wanted_versions.WantedVersions
        What is wanted.
    """

    def __init__(self, engine, address, vm_id, claims, versions):
        self._engine = engine
        self._address = address
        self._vm_id = vm_id
        self._claims = claims
        self._versions = versions

    async def load(self, model, may_order, on_ordered):
        """Order until the engine has the version wanted now of `model`.

        What is ordered is the newest one all the same.

        Parameters
        ----------
        model : str
            The model.
        may_go_on : callable
            Whether the engine still is this VM's to order.
        on_ordered : callable
            Told of each report that an accepted order went by.

        Returns
        -------
        engine.EngineReport or None
            What shows that the version is there; None if it was another
            VM's turn before that.
        """
        target_version = self._versions.wanted_by_model[model]
        while may_order():
            wanted = self._versions.wanted_by_model[model]
            try:
                report = await self._engine.report()
                if (
                    report.version_by_model.get(model, target_version)
                    >= target_version
                ):
                    return report
                if not report.is_busy:
                    await self._order(report, model, wanted, on_ordered)
            except exceptions.AnvilwellError as error:
                _LOG.log(
                    "engine-unreachable",
                    engine=str(self._address),
                    cause=error.message,
                )
                await asyncio.sleep(RETRY_INTERVAL_S)
            await asyncio.sleep(POLL_INTERVAL_S)
        return None

    async def _order(self, report, model, wanted, on_ordered):
        fencing = await self._claims.obtain_fencing(self._address)
        if fencing is None:
            await asyncio.sleep(RETRY_INTERVAL_S)
            return
        order = engines.VersionOrder(
            report.replica_id,
            model,
            wanted,
            self._vm_id,
            fencing,
            report.orders_taken,
        )
        result = await self._engine.order(order)
        _LOG.log(
            "version-ordered",
            replica=report.replica_id,
            engine=str(self._address),
            model=model,
            version=wanted,
            had=report.version_by_model[model],
            running=report.running,
            end=str(result),
        )
        if result is engines.OrderResult.ACCEPTED:
            on_ordered(report)
        else:
            await asyncio.sleep(RETRY_INTERVAL_S)
