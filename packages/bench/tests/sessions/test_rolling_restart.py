"""Every daemon in turn restarts by a drain while callers ask."""

import threading

from anvilwell_bench.audit.promises import at_most_once
from anvilwell_bench.audit.promises import not_run
from anvilwell_bench.audit.promises import own_answer
from anvilwell_bench.audit.promises import shutdown
from anvilwell_standins.base import record
from anvilwell_standins.programs import caller
from anvilwell_standins.programs import entries
import configuring
import deployment as deployments
import training

PLAN = caller.Plan(
    model="planner-lm",
    plain="stops-app",
    callers=6,
    seconds=120.0,
    max_tokens=40,
    retries=8,
    pause_s=0.02,
)
CALLER_PROMISES = (
    at_most_once.AtMostOnce(),
    own_answer.OwnWholeAnswer(),
    shutdown.GracefulShutdown(),
    not_run.NotRunTrue(),
)


def restart(daemon, server, operator):
    """Restart `daemon`, which stands beside `server`, on record."""
    operator.add("stop", daemon=daemon.name, server=server)
    code = daemon.restart()
    operator.add("stopped", daemon=daemon.name, code=code)


def wait_linked(deployment):
    """Wait until every entry can send to every agent."""
    wanted_by_service = {
        "planner-lm": len(deployment.engines),
        "stops-app": len(deployment.plains),
    }
    for entry in deployment.entries:
        for service, wanted in wanted_by_service.items():
            deployments.wait_until(
                lambda e=entry, s=service, n=wanted: (
                    len(e.kernel.get("replicas").candidates(s)) == n
                )
            )


def test_rolling_restart_cuts_nothing_and_doubles_nothing(tmp_path):
    asked = record.Record("caller")
    operator = record.Record("operator")
    stopped = threading.Event()
    with deployments.Deployment(
        tmp_path, plains_count=2, entries=2
    ) as deployment:
        deployment.wait_ready()
        configuring.configure(deployment)
        wait_linked(deployment)
        standins_by_name = {
            **training.named("engine", deployment.engines),
            **training.named("plain", deployment.plains),
        }
        found = [
            entries.Entry(entry.name, str(entry.settings.entry.listen))
            for entry in deployment.entries
        ]
        callers = caller.Callers(PLAN, entries.Entries(found), asked, stopped)
        calling = threading.Thread(target=callers.run)
        calling.start()
        try:
            asked.wait_for("answer", 2 * PLAN.callers)
            for entry in deployment.entries:
                restart(entry, "", operator)
                deployment.wait_ready()
                wait_linked(deployment)
            for agent, server in zip(
                deployment.agents, standins_by_name, strict=True
            ):
                restart(agent, server, operator)
                wait_linked(deployment)
            answers = len(asked.lines("answer"))
            asked.wait_for("answer", answers + 2 * PLAN.callers)
        finally:
            stopped.set()
            calling.join()
    print(*callers.tally.lines(), sep="\n")
    records = training.joined(
        {"caller": asked, "operator": operator, **standins_by_name}
    )
    for promise in CALLER_PROMISES:
        print(promise.name, promise.evidence(records))
        assert promise.check(records) == [], promise.name
        assert promise.evidence(records) or promise.name == "not-run"
    assert not callers.tally.wrong
