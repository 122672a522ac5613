"""A trainer of one short run, and what the parties recorded."""

import itertools

from anvilwell_bench.audit import reader
from anvilwell_standins.base import record
from anvilwell_standins.programs import checkpoint
from anvilwell_standins.programs import entries
from anvilwell_standins.programs import steps
from anvilwell_standins.programs import trainer as trainers

PLAN = steps.Plan(
    run="autumn",
    service="planner-lm",
    model="planner",
    steps=1,
    groups=1,
    samples=2,
    max_tokens=4,
    ahead=0,
    train_s=0.0,
    limit_s=60.0,
)


def train(deployment, plan=PLAN):
    """Train `plan` to its end; return the trainer's record."""
    found = [
        entries.Entry(entry.name, str(entry.settings.entry.listen))
        for entry in deployment.entries
    ]
    kept = record.Record("trainer")
    trainer = trainers.Trainer(
        plan,
        entries.Entries(found),
        kept,
        checkpoint.Checkpoint(),
        deployment.weightstore.url,
    )
    trainer.run()
    return kept


def records(trainer_record, engines):
    """Return what trainer and engines recorded, as the auditor reads it."""
    engines_by_name = named("engine", engines)
    return joined({"trainer": trainer_record, **engines_by_name})


def named(kind, standins):
    """Return the records of stand-ins of one kind, by name."""
    return {
        f"{kind}-{number}": standin.record
        for number, standin in enumerate(standins, start=1)
    }


def joined(records_by_name):
    """Return `records_by_name`, as the auditor reads them."""
    parsed = [
        dict(line, who=who)
        for who, one in records_by_name.items()
        for line in reader.parse(one.encode().decode(), who)
    ]
    return reader.Records.from_lines(parsed)


def samples(trainer_record):
    """Return the collected samples in the order of their ids."""
    collected = itertools.chain.from_iterable(
        line["samples"] for line in trainer_record.lines("collect")
    )
    return sorted(collected, key=steps.sample_id)
