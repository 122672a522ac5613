"""The nine promises, one module each."""

from anvilwell_bench.audit.promises import at_most_once
from anvilwell_bench.audit.promises import configuration
from anvilwell_bench.audit.promises import exactly_once
from anvilwell_bench.audit.promises import leaving
from anvilwell_bench.audit.promises import not_run
from anvilwell_bench.audit.promises import own_answer
from anvilwell_bench.audit.promises import shutdown
from anvilwell_bench.audit.promises import staleness
from anvilwell_bench.audit.promises import versions

ALL = (
    versions.VersionsTrue(),
    staleness.StalenessBound(),
    exactly_once.ExactlyOnce(),
    own_answer.OwnWholeAnswer(),
    not_run.NotRunTrue(),
    at_most_once.AtMostOnce(),
    leaving.LeavingServer(),
    shutdown.GracefulShutdown(),
    configuration.ConfigurationInForce(),
)
