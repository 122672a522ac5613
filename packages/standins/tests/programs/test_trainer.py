"""The trainer against a small fake of an entry."""

import json
import random

from anvilwell_kernel import exceptions
from anvilwell_kernel import web
from anvilwell_standins.base import faults
from anvilwell_standins.base import record
from anvilwell_standins.base import server
from anvilwell_standins.engine import text as texts
from anvilwell_standins.programs import checkpoint as checkpoints
from anvilwell_standins.programs import entries
from anvilwell_standins.programs import steps
from anvilwell_standins.programs import trainer
from anvilwell_standins import weightstore
import pytest

PLAN = steps.Plan(
    "autumn", "planner-lm", "planner", steps=3, max_tokens=4, train_s=0.0
)


class FakeEntry(server.StandIn):
    """Makes every sample at once, in a mixed order."""

    name = "entry-1"
    own_faults = ("twice", "other-text")

    def __init__(self):
        super().__init__()
        self.samples = []
        self.steps = set()
        self.versions = []
        self.cursors = []
        run = "/v1/runs/<run>"
        self.route(f"{run}/steps/<int:step>", self._submit, ("POST",))
        self.route(f"{run}/samples", self._collect)
        self.route(f"{run}/version", self._version, ("PUT",))
        self.route("/v1/services/<service>/version", self._ask, ("PUT",))

    def _submit(self, request, run, step):
        groups = json.loads(request.get_data())["groups"]
        if not groups:
            self.record.add("refused")
            raise exceptions.BadRequest("a step needs groups")
        if step not in self.steps:
            self.steps.add(step)
            new = [
                self._sample(step, group, index)
                for group in groups
                for index in range(group["samples"])
            ]
            random.Random(step).shuffle(new)
            self.samples.extend(new)
        return web.json_response({})

    def _sample(self, step, group, index):
        text = texts.text(group["prompt"], group["seed"] + index, 0, 3)
        if self.faults.take("other-text"):
            text = texts.text("other", 0, 0, 3)
        return {
            "step": step,
            "group": group["group"],
            "index": index,
            "text": text,
            "tokens": 3,
            "versions": ["1"],
        }

    def _collect(self, request, run):
        cursor = int(request.args["cursor"])
        self.cursors.append(cursor)
        found = self.samples[cursor : cursor + 5]
        if self.faults.take("twice"):
            self.samples.insert(cursor + 5, found[0])
        positions = enumerate(found, start=cursor)
        samples = [{**one, "position": place} for place, one in positions]
        body = {"samples": samples, "next_cursor": cursor + len(found)}
        return web.json_response(body)

    def _version(self, request, run):
        if not self.steps:
            raise exceptions.NotFound("submit a step first")
        self.versions.append(json.loads(request.get_data())["version"])
        return web.json_response({})

    def _ask(self, request, service):
        return web.json_response({"outcome": "in-force"})


@pytest.fixture
def entry():
    with FakeEntry() as started:
        yield started


def make(entry, plan=PLAN, checkpoint=None, store_url=""):
    names = entries.Entries([entries.Entry("entry-1", entry.address)])
    return trainer.Trainer(
        plan,
        names,
        record.Record("trainer"),
        checkpoint or checkpoints.Checkpoint(),
        store_url,
    )


def collected(program):
    return [
        steps.sample_id(sample)
        for line in program._record.lines("collect")
        for sample in line["samples"]
    ]


def wanted(plan=PLAN):
    return {
        one
        for step in range(plan.steps)
        for one in steps.sample_ids(plan, step)
    }


def test_all_samples_are_collected_once(entry):
    program = make(entry)
    summary = program.run()
    assert summary.samples == 48
    assert sorted(collected(program)) == sorted(wanted())
    assert entry.versions == ["1", "2", "3", "4"]
    assert summary.staleness_max == 2
    assert entry.cursors[-1] == 48


def test_weights_are_published_before_they_are_asked_for(entry):
    with weightstore.WeightStore() as store:
        make(entry, store_url=store.url).run()
        published = [line["version"] for line in store.record.lines("publish")]
    assert published == ["2", "3", "4"]


def test_crash_comes_back_at_the_cursor_kept_last(entry):
    plan = PLAN._replace(crash_steps=frozenset({0, 2}))
    program = make(entry, plan)
    assert program.run().crashes == 2
    assert sorted(collected(program)) == sorted(wanted())
    repeated = [c for c in entry.cursors if entry.cursors.count(c) > 1]
    assert repeated


def test_restarted_trainer_goes_on_from_its_file(entry, tmp_path):
    path = tmp_path / "state"
    first = make(entry, PLAN._replace(steps=1), checkpoints.Checkpoint(path))
    first.run()
    second = make(entry, PLAN, checkpoints.Checkpoint(path))
    second.run()
    assert sorted(collected(first) + collected(second)) == sorted(wanted())


@pytest.mark.parametrize(
    ("kind", "message"),
    [("twice", "delivered twice"), ("other-text", "not its own")],
)
def test_wrong_delivery_is_noticed(entry, kind, message):
    entry.faults.add(faults.Fault(kind))
    with pytest.raises(trainer.Failed, match=message):
        make(entry).run()


def test_lost_answers_are_asked_for_again(entry):
    entry.faults.add(faults.Fault("lost-after-effect", count=3))
    entry.faults.add(faults.Fault("error-before-effect", match="samples"))
    program = make(entry)
    program.run()
    assert sorted(collected(program)) == sorted(wanted())


def test_bad_request_is_not_repeated(entry):
    with pytest.raises(trainer.Failed, match="answered 400"):
        make(entry, PLAN._replace(groups=0)).run()
    assert len(entry.record.lines("refused")) == 1


def test_limit_ends_the_run(entry):
    entry.faults.add(faults.Fault("error-before-effect", count=-1))
    with pytest.raises(trainer.Failed, match="limit is reached"):
        make(entry, PLAN._replace(limit_s=0.0)).run()
