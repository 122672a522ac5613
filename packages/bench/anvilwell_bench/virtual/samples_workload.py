"""Workloads of the samples bench: sizes and the length distribution."""

import math
import typing

from anvilwell_bench.virtual import engine as engines
from anvilwell_decisions.samples import identity


class Lengths(typing.NamedTuple):
    """Heavy-tailed lengths in tokens.

    A prompt's typical length is lognormal; a sample's length is that
    times lognormal noise. A share of the prompts, and a share of the
    samples, is stretched by ``tail_scale`` times a Pareto factor. All
    are capped at ``max_tokens``.
    """

    median: float = 400.0
    prompt_sigma: float = 0.7
    sample_sigma: float = 0.35
    prompt_tail: float = 0.04
    sample_tail: float = 0.0
    tail_alpha: float = 1.5
    tail_scale: float = 2.0
    max_tokens: int = 4096

    def typical(self, rng):
        """Return a prompt's typical length."""
        typical = self.median * math.exp(rng.gauss(0, self.prompt_sigma))
        return typical * self._stretch(self.prompt_tail, rng)

    def draw(self, typical, rng):
        """Return one sample's length."""
        tokens = typical * math.exp(rng.gauss(0, self.sample_sigma))
        tokens *= self._stretch(self.sample_tail, rng)
        return max(8, min(int(tokens), self.max_tokens))

    def _stretch(self, share, rng):
        if rng.random() >= share:
            return 1.0
        return self.tail_scale * rng.paretovariate(self.tail_alpha)


BY_PROMPT = Lengths()
BY_SAMPLE = Lengths(prompt_tail=0.0, sample_tail=0.02)


SLOWER = 3.0


class Deployment(typing.NamedTuple):
    """One deployment: replicas, runs, their steps and new weights."""

    name: str
    runs: int
    groups: int
    samples: int
    train_s: float
    weights_every_s: float
    replicas: int = 6
    bound: int = 2
    swap_s: float = 8.0
    prompts: int = 512
    prompt_tokens: int = 2000
    lengths: Lengths = BY_PROMPT
    engine: engines.EngineModel = engines.EngineModel(
        base_step_s=0.02, per_stream_step_s=0.0002, max_batch=32
    )
    slow_engines: tuple[str, ...] = ()

    def slow_model(self):
        """Return the service times of a slow engine."""
        model = self.engine
        return model._replace(
            base_step_s=model.base_step_s * SLOWER,
            per_stream_step_s=model.per_stream_step_s * SLOWER,
        )

    def capacity(self):
        """Return the tokens a second of all replicas with full batches."""
        batch = self.engine.max_batch
        step_s = (
            self.engine.base_step_s + batch * self.engine.per_stream_step_s
        )
        return self.replicas * batch / step_s

    def fastest_token_s(self):
        """Return the seconds that a token takes in a stream alone."""
        return self.engine.base_step_s + self.engine.per_stream_step_s


ASSOCIATION = Deployment(
    "association",
    runs=2,
    groups=128,
    samples=8,
    train_s=240.0,
    weights_every_s=240.0,
)
GOALPOST = Deployment(
    "goalpost",
    runs=3,
    groups=80,
    samples=8,
    train_s=200.0,
    weights_every_s=180.0,
)
DEPLOYMENTS = (ASSOCIATION, GOALPOST)


class Workload:
    """Draws the steps and the true length of each sample.

    Lengths depend on the seed and the sample's id alone, so that every
    policy meets the same work.
    """

    def __init__(self, deployment, driver):
        self._deployment = deployment
        self._driver = driver
        self._typical_by_prompt = {}

    def step(self, run, number):
        """Return step `number` of `run`."""
        deployment = self._deployment
        rng = self._driver.rng(f"prompts/{run}/{number}")
        prompts = rng.sample(range(deployment.prompts), deployment.groups)
        groups = tuple(
            identity.Group(
                f"g{index}",
                f"{run}/p{prompt}",
                deployment.samples,
                deployment.lengths.max_tokens,
            )
            for index, prompt in enumerate(prompts)
        )
        return identity.Step(run, number, "lm", groups)

    def tokens(self, sample, group):
        """Return the true length of `sample`."""
        lengths = self._deployment.lengths
        prompt = group.prompt
        if prompt not in self._typical_by_prompt:
            rng = self._driver.rng(f"prompt/{prompt}")
            self._typical_by_prompt[prompt] = lengths.typical(rng)
        rng = self._driver.fresh_rng(f"length/{sample}")
        return lengths.draw(self._typical_by_prompt[prompt], rng)

    def lower_bound_s(self, steps):
        """Return the least time that `steps`, begun at once, can take."""
        lengths = [
            self.tokens(sample, group)
            for step in steps
            for group in step.groups
            for sample in step.sample_ids()
            if sample.group == group.group
        ]
        deployment = self._deployment
        work_s = sum(lengths) / deployment.capacity()
        return max(work_s, max(lengths) * deployment.fastest_token_s())
