"""A trainer: submits steps, collects samples, publishes weights."""

import json
import random
import threading
import time
import typing

import urllib3

from anvilwell_standins.programs import steps

WAIT_S = 2.0
CALL_TIMEOUT_S = 10.0
LIMIT = 256
EMPTY_PAUSE_S = 0.02
LONGEST_PAUSE_S = 0.5
_HOPELESS = (400, 422)
_HEADERS = {
    "Content-Type": "application/json",
    "Anvilwell-Priority": "training",
}


class Failed(Exception):
    """The trainer can't go on, or what it got is wrong."""


class Summary(typing.NamedTuple):
    """What a whole run came to."""

    steps: int
    samples: int
    idle_s: float
    seconds: float
    staleness_max: int
    crashes: int


class Trainer:
    """Drives one run through the entries.

    Parameters
    ----------
    plan : steps.Plan
        What to do.
    entries : entries.Entries
        Where to ask.
    record : record.Record
        Gets ``submit``, ``version`` and ``collect`` lines.
    checkpoint : checkpoint.Checkpoint
        What survives a crash.
    store_url : str
        Weight store to publish in; "" for none.
    """

    def __init__(self, plan, entries, record, checkpoint, store_url=""):
        self._plan = plan
        self._entries = entries
        self._record = record
        self._checkpoint = checkpoint
        self._store_url = store_url
        self._state = checkpoint.load()
        self._submitted = set()
        self._seen_by_position = {}
        self._crashed = set()
        self._idle_s = 0.0
        self._staleness_max = 0
        self._samples = 0
        self._rng = random.Random(plan.seed)
        self._stopped = threading.Event()
        self._http = urllib3.PoolManager(retries=False)
        self._deadline = None

    def run(self):
        """Train all steps and return the `Summary`.

        Raises
        ------
        Failed
            If a sample is wrong, doubled or missing, or the plan's
            limit is reached.
        """
        began = time.monotonic()
        self._deadline = began + self._plan.limit_s
        self._begin()
        while self._state.step < self._plan.steps:
            self._train_step(self._state.step)
        # The last collect acknowledges what was delivered before it.
        self._ask_samples(0.0)
        return Summary(
            self._plan.steps,
            self._samples,
            self._idle_s,
            time.monotonic() - began,
            self._staleness_max,
            len(self._crashed),
        )

    def _begin(self):
        """Make the run known by its step, then tell the version."""
        if self._state.step < self._plan.steps:
            self._submit(self._state.step)
            self._announce(self._state.version)

    def _train_step(self, step):
        until = min(step + self._plan.ahead, self._plan.steps - 1)
        for wanted in range(step, until + 1):
            self._submit(wanted)
        while not self._is_whole(step):
            self._collect()
        self._stopped.wait(self._plan.train_s)
        taken = tuple(one for one in self._state.taken if one[0] != step)
        self._keep(self._state._replace(step=step + 1, taken=taken))
        if (step + 1) % self._plan.version_every == 0:
            self._advance()
        print(
            f"step {step} whole: idle {self._idle_s:.2f} s so far, "
            f"version {self._state.version}",
            flush=True,
        )

    def _is_whole(self, step):
        return steps.sample_ids(self._plan, step) <= set(self._state.taken)

    def _submit(self, step):
        if step in self._submitted:
            return
        plan = self._plan
        groups = steps.groups(plan, step)
        self._call(
            "POST",
            f"/v1/runs/{plan.run}/steps/{step}",
            {"service": plan.service, "groups": groups},
        )
        self._submitted.add(step)
        self._record.add(
            "submit",
            run=plan.run,
            step=step,
            service=plan.service,
            staleness_bound=plan.staleness_bound,
            groups=groups,
        )

    def _collect(self):
        began = time.monotonic()
        collected = self._ask_samples(WAIT_S)
        idle_s = time.monotonic() - began
        self._idle_s += idle_s
        samples = collected["samples"]
        if not samples:
            self._check_limit("no more samples come")
            self._stopped.wait(EMPTY_PAUSE_S)
        self._check(samples)
        if self._crashes_now(samples):
            self._crash()
            return
        taken = [steps.sample_id(sample) for sample in samples]
        self._record.add(
            "collect",
            run=self._plan.run,
            cursor=self._state.cursor,
            next_cursor=collected["next_cursor"],
            samples=samples,
            idle_s=round(idle_s, 4),
        )
        self._samples += len(samples)
        self._keep(
            self._state._replace(
                cursor=collected["next_cursor"],
                taken=(*self._state.taken, *taken),
            )
        )

    def _ask_samples(self, wait_s):
        path = (
            f"/v1/runs/{self._plan.run}/samples?cursor={self._state.cursor}"
            f"&wait_s={wait_s}&limit={LIMIT}"
        )
        return steps.COLLECTED.validate_json(self._call("GET", path))

    def _check(self, samples):
        taken = set(self._state.taken)
        for sample in samples:
            name = steps.sample_id(sample)
            problem = steps.problem(self._plan, sample)
            if name in taken:
                problem = "was delivered twice"
            before = self._seen_by_position.setdefault(
                sample["position"], sample
            )
            if before != sample:
                problem = "is not the one given at its position before"
            if problem:
                raise Failed(f"sample {name} {problem}")
            taken.add(name)
            age = self._state.version - min(map(int, sample["versions"]))
            self._staleness_max = max(self._staleness_max, age)

    def _crashes_now(self, samples):
        found = {sample["step"] for sample in samples}
        due = (found & self._plan.crash_steps) - self._crashed
        self._crashed |= due
        return bool(due)

    def _crash(self):
        """Forget what was not kept, as if started again."""
        self._submitted.clear()
        self._state = self._checkpoint.load()
        self._begin()

    def _advance(self):
        version = self._state.version + 1
        if self._store_url:
            self._publish(version)
        self._keep(self._state._replace(version=version))
        self._announce(version)
        path = f"/v1/services/{self._plan.service}/version"
        self._call("PUT", path, {"version": str(version)})

    def _announce(self, version):
        run = self._plan.run
        path = f"/v1/runs/{run}/version"
        self._call("PUT", path, {"version": str(version)})
        self._record.add("version", run=run, version=str(version))

    def _publish(self, version):
        path = f"/models/{self._plan.model}/versions/{version}"
        answer = self._http.request(
            "PUT", f"{self._store_url}{path}", timeout=CALL_TIMEOUT_S
        )
        if answer.status != 200:
            raise Failed(f"weight store answered {answer.status}")

    def _keep(self, state):
        self._state = state
        self._checkpoint.save(state)

    def _call(self, method, path, body=None):
        """Call the entries in turn until one answers 2xx."""
        encoded = None if body is None else json.dumps(body).encode()
        while True:
            entry = self._entries.take()
            reply = self._entries.call(
                entry,
                method,
                path,
                body=encoded,
                headers=_HEADERS,
                timeout_s=CALL_TIMEOUT_S,
            )
            if 200 <= reply.status < 300:
                return reply.body
            call = f"{method} {path} at {entry.name}"
            self._pause(call, reply)

    def _pause(self, call, reply):
        told = reply.body[:300].decode(errors="replace")
        message = f"{call} answered {reply.status}: {told}"
        if reply.status in _HOPELESS:
            raise Failed(message)
        self._check_limit(message)
        print(f"trainer {self._plan.run}: {message}; asks again", flush=True)
        self._stopped.wait(self._rng.uniform(EMPTY_PAUSE_S, LONGEST_PAUSE_S))

    def _check_limit(self, message):
        if time.monotonic() > self._deadline:
            raise Failed(f"{message}, and the limit is reached")
