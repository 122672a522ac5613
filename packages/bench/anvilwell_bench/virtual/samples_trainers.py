"""Fakes of trainers: one that trains, and one that only asks."""

RETRY_S = 1.0
POLL_S = 5.0


class Trainer:
    """Submits steps, waits for each whole, trains, takes new weights.

    Parameters
    ----------
    world : samples_world.World
        Where it lives.
    run : str
        Its run.
    steps : int
        How many steps it does.
    ahead : int
        How many steps beyond the needed one it submits.
    train_s : float
        Seconds of training for each step; 0 asks only.
    """

    def __init__(self, world, run, steps, *, ahead, train_s, on_step=None):
        self.run = run
        self.idle_s = 0.0
        self.busy_s = 0.0
        self.makespans = []
        self.breaches = 0
        self.done_at = None
        self._world = world
        self._steps = steps
        self._ahead = ahead
        self._train_s = train_s
        self._on_step = on_step
        self._cursor = 0
        self._step = 0
        self._submitted = 0
        self._waits_since = None
        self._seen = set()
        self.version = world.latest

    def start(self):
        """Begin with the first step."""
        self._world.set_version(self.run, self.version)
        self._need_next()

    def look(self):
        """Collect if it waits; told whenever something is deliverable."""
        if self._waits_since is None:
            return
        batch = self._world.collect(self.run, self._cursor)
        if batch is None:
            self._world.driver.after(RETRY_S, self.look)
            return
        self._cursor = batch.next_cursor
        for choice in batch.choices:
            self._take(choice)
        if self._step in batch.steps_whole:
            self._whole()

    def _poll(self, step):
        """Ask again now and then, as a long poll ends."""
        if self._step == step and self._waits_since is not None:
            self.look()
            self._world.driver.after(POLL_S, self._poll, step)

    def _take(self, choice):
        oldest = min(map(int, choice.versions))
        age = max(0, self.version - oldest)
        self._world.tally.staleness.append(age)
        self._world.tally.useful.append(choice.tokens)
        doubled = choice.sample in self._seen
        self._seen.add(choice.sample)
        if doubled or age > self._world.deployment.bound:
            self.breaches += 1

    def _need_next(self):
        self._step += 1
        if self._step > self._steps:
            self.done_at = self._world.now
            return
        while self._submitted < min(self._step + self._ahead, self._steps):
            self._submitted += 1
            step = self._world.workload.step(self.run, self._submitted)
            self._world.submit(step)
        self._waits_since = self._world.now
        self._poll(self._step)

    def _whole(self):
        waited = self._world.now - self._waits_since
        self._waits_since = None
        self.idle_s += waited
        self.makespans.append(waited)
        if self._on_step:
            self._on_step(self, self._step, self._need_next)
        else:
            self._world.driver.after(self._train_s, self._trained)

    def _trained(self):
        self.busy_s += self._train_s
        self.version = self._world.latest
        self._world.set_version(self.run, self.version)
        self._need_next()
