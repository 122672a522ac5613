"""Capacity figures of the daemon that holds the ledger of a run."""

from anvilwell_decisions.capacity import assumptions
from anvilwell_decisions.capacity.roles import control
from anvilwell_decisions.capacity import rows
from anvilwell_decisions.capacity import target

ROLE = "ledger"
_US = 1e6


def samples_s(fleet, lines):
    """Return the samples a second that all runs record."""
    return fleet.samples_s


def tokens_share(fleet, lines):
    """Return the share of all tokens that are generated for samples."""
    tokens = assumptions.SAMPLE_BYTES / assumptions.TOKEN_BYTES
    return fleet.samples_s * tokens / fleet.tokens_s


def cpu_share(fleet, lines):
    """Return the cores that the decisions of one run need."""
    step_us = lines["ledger.step.cpu"].at(fleet.samples_step)
    return step_us / _US / fleet.step_s


def step_burst_s(fleet, lines):
    """Return the CPU seconds of all decisions of one step."""
    return lines["ledger.step.cpu"].at(fleet.samples_step) / _US


def memory_bytes(fleet, lines):
    """Return the memory of a holder with three steps and their texts."""
    steps = 3
    texts = fleet.samples_step * assumptions.SAMPLE_BYTES
    held = steps * (lines["ledger.step.bytes"].at(fleet.samples_step) + texts)
    return control.memory_bytes(fleet, lines) + held


def copies_bytes_s(fleet, lines):
    """Return the bytes a second that a holder copies to another domain."""
    samples_per_s = fleet.samples_step / fleet.step_s
    return samples_per_s * assumptions.SAMPLE_BYTES


def written_bytes_s(fleet, lines):
    """Return the bytes a second of the chunks of all runs."""
    step = lines["ledger.step.written"].at(fleet.samples_step)
    return fleet.trainers * step / fleet.step_s


FIGURES = (
    rows.Figure(
        ROLE,
        "samples recorded",
        "samples/s",
        samples_s,
        "trainers x samples a step / step time",
        (),
        "one holder a run, under a lease; runs are independent",
    ),
    rows.Figure(
        ROLE,
        "share of all tokens that whole steps need",
        "share",
        tokens_share,
        "samples/s x bytes of a sample / bytes of a token / tokens/s",
        (),
        "training is scheduled beside live callers; a slow sample is run"
        " again elsewhere",
        1.0,
    ),
    rows.Figure(
        ROLE,
        "control CPU of one run",
        "cores",
        cpu_share,
        "step(samples) / step time",
        ("ledger.step.cpu", "ledger.replicas.cpu"),
        "O(log n) for each sample; flat in the replicas",
        target.BUDGET.cpu_share,
    ),
    rows.Figure(
        ROLE,
        "a whole step's decisions at once",
        "s",
        step_burst_s,
        "step(samples)",
        ("ledger.step.cpu",),
        "a step is submitted in one call; results arrive over time",
        3.0,
    ),
    rows.Figure(
        ROLE,
        "memory of a holder: three steps with texts",
        "bytes",
        memory_bytes,
        "every daemon's + 3 x (step(samples) + samples x text)",
        ("ledger.step.bytes", "daemon.base.bytes"),
        "texts stay until acknowledged; two steps ahead at most",
        target.BUDGET.memory_bytes,
        rows.Reading.APART,
        "keep texts only on the few VMs with a disk",
    ),
    rows.Figure(
        ROLE,
        "copies of texts to another domain (data path)",
        "bytes/s",
        copies_bytes_s,
        "samples a step / step time x text",
        (),
        "two copies exist before a choice is written",
    ),
    rows.Figure(
        ROLE,
        "chunks written by all runs",
        "bytes/s",
        written_bytes_s,
        "trainers x written(samples) / step time",
        ("ledger.step.written",),
        "group commit each 0.5 s",
    ),
)
