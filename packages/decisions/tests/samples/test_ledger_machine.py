"""Checks a ledger in any order of events against a model of a trainer."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from anvilwell_decisions.samples import actions
from anvilwell_decisions.samples import identity
from anvilwell_decisions.samples import ledger as ledgers

BOUND = 1
SAMPLES = 2


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Changes holders; the trainer must receive each sample exactly once."""

    def __init__(self):
        super().__init__()
        self.log = {}
        self.now = 0.0
        self.fencing = 0
        self.results = 0
        self.steps = 0
        self.version = 1
        self.cursor = 0
        self.taken = {}
        self.digests_by_position = {}
        self.waiting = []
        self.old = None
        self.ledger = None
        self.take_over()

    @stateful.rule()
    def take_over(self):
        """Another process takes over; the previous holder may still write."""
        self.old, self.fencing = self.ledger, self.fencing + 1
        self.ledger = ledgers.Ledger(
            "r", f"e{self.fencing}", self.fencing, bound=BOUND
        )
        self.waiting = []
        self.perform(
            self.ledger, self.ledger.recover(dict(self.log), self.now)
        )

    @stateful.rule()
    def old_holder_writes(self):
        if self.old is not None:
            self.perform(self.old, self.old.tick(self.now + 100))

    @stateful.rule()
    def submit(self):
        if self.steps < 2:
            self.steps += 1
            group = identity.Group("g", "p", SAMPLES, 8)
            step = identity.Step("r", self.steps, "lm", (group,))
            self.perform(self.ledger, self.ledger.submit(step, self.now))

    @stateful.rule(
        data=st.data(),
        index=st.integers(0, SAMPLES - 1),
        age=st.integers(0, 2),
    )
    def result(self, data, index, age):
        """An attempt ends; its sample may be settled, or its version old."""
        if not self.steps:
            return
        self.results += 1
        step = data.draw(st.integers(1, self.steps))
        sample = identity.SampleId("r", step, "g", index)
        version = str(max(1, self.version - age))
        outcome = ledgers.Result(f"d{self.results}", 4, (version,))
        found = self.ledger.result(sample, outcome, self.now)
        self.perform(self.ledger, found)

    @stateful.rule(well=st.booleans())
    def copied(self, well):
        """All running copies succeed or fail; then time passes."""
        copies, self.waiting = self.waiting, []
        for copy in copies:
            if not well:
                self.ledger.not_done(copy.sample, copy.digest, self.now)
                continue
            holders = ("a", "b")
            found = self.ledger.replicated(
                copy.sample, copy.digest, holders, self.now
            )
            self.perform(self.ledger, found)
        self.time_passes()

    @stateful.rule()
    def time_passes(self):
        self.now += 1.0
        self.perform(self.ledger, self.ledger.tick(self.now))

    @stateful.rule()
    def new_version(self):
        self.version += 1
        found = self.ledger.trainer_version(str(self.version), self.now)
        self.perform(self.ledger, found)

    @stateful.rule(limit=st.integers(1, 4), answer=st.booleans())
    def collect(self, limit, answer):
        """The trainer collects at its cursor; the response may be lost."""
        batch = self.ledger.collect(self.cursor, limit, self.now)
        self.perform(self.ledger, batch.actions)
        for position, choice in zip(
            batch.positions, batch.choices, strict=True
        ):
            digest = self.digests_by_position.setdefault(
                position, choice.digest
            )
            assert digest == choice.digest
            assert self.version - int(choice.versions[0]) <= BOUND
            if answer:
                assert choice.sample not in self.taken
                self.taken[choice.sample] = choice.digest
        if answer:
            self.cursor = batch.next_cursor

    def perform(self, ledger, found):
        """Carry out actions; every write and fetch succeeds immediately."""
        todo = list(found)
        while todo:
            action = todo.pop(0)
            match action:
                case actions.WriteChunk():
                    todo += self.write(ledger, action)
                case actions.Fetch():
                    todo += ledger.bytes_found(action.position)
                case actions.Replicate() if ledger is self.ledger:
                    self.waiting.append(action)

    def write(self, ledger, chunk):
        there = self.log.setdefault(chunk.number, chunk.entries)
        if there == chunk.entries:
            return ledger.written(chunk.number, self.now)
        return ledger.write_conflict(chunk.number, there, self.now)


LedgerMachine.TestCase.settings = hypothesis.settings(
    max_examples=120, stateful_step_count=60
)
TestLedger = LedgerMachine.TestCase
