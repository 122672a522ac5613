"""Orders one engine to load a version that a trainer has named."""

import asyncio

from anvilwell_gateway import engine as engines
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

POLL_INTERVAL_S = 0.1
# Seconds before the next attempt after an order failed or while this VM may
# not give one yet.
RETRY_INTERVAL_S = 0.3

_LOG = logs.get_logger(__name__)


class VersionLoader:
    """Gives orders until one engine has the version that was wanted.

    A version that is named during a load is not waited for: engines take
    turns to load, and the items of the step that comes with that version
    need engines that are not loading.

    Parameters
    ----------
    engine : engine.Engine
        Connection to the engine.
    address : options.Address
        Address of the engine, which identifies it in claims.
    vm_id : str
        Id of the VM that gives the orders.
    claims : engine_claims.EngineClaims
        Decides whether this VM may give an order.
    versions : wanted_versions.WantedVersions
        The wanted version of each model.
    """

    def __init__(self, engine, address, vm_id, claims, versions):
        self._engine = engine
        self._address = address
        self._vm_id = vm_id
        self._claims = claims
        self._versions = versions

    async def load(self, model, may_order, on_ordered):
        """Give orders until the engine has the version wanted at the start.

        Each order asks for the newest wanted version, which may be newer.

        Parameters
        ----------
        model : str
            Name of the model.
        may_order : callable
            Returns whether this VM is still to order for the engine.
        on_ordered : callable
            Called with the engine's report from before each accepted order.

        Returns
        -------
        engine.EngineReport or None
            The report that shows the version; None if `may_order` returned
            False first.
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
