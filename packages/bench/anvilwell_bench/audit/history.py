"""Questions that several promises ask of the records."""

import typing

from anvilwell_bench.audit import reader
from anvilwell_bench.audit import texts

_WHOLE = ("stop", "length")


class Generation(typing.NamedTuple):
    """The identity of one generated text; `prompt` is a digest."""

    prompt: str
    seed: int
    index: int


class Sample(typing.NamedTuple):
    """A collected sample beside the step that asked for it."""

    sample_id: str
    run: str
    collected: dict
    collected_at: float
    submit: dict | None
    group: dict | None

    @property
    def generation(self):
        """What the engines must have been asked for this sample."""
        return Generation(
            texts.digest(self.group["prompt"]),
            self.group["seed"] + self.collected["index"],
            0,
        )


def generation_of_start(line):
    """Return the `Generation` that an engine's start names."""
    return Generation(line["prompt"], line["seed"], line["index"])


def generation_of_ask(ask):
    """Return the `Generation` that a caller asked for."""
    return Generation(texts.digest(ask["prompt"]), ask["seed"], 0)


def is_model_ask(ask):
    """Return whether an ask is for a model rather than a plain service."""
    return ask["max_tokens"] > 0


def attempts_by_generation(records, kind):
    """Return lines of `kind` of engines, by the text they belong to."""
    generation_by_attempt = {
        (line["who"], line["request_id"]): generation_of_start(line)
        for line in records.of("start")
    }
    lines = {}
    for line in records.of(kind):
        attempt = (line["who"], line["request_id"])
        if attempt in generation_by_attempt:
            generation = generation_by_attempt[attempt]
            lines.setdefault(generation, []).append(line)
    return lines


def lengths_by_generation(records):
    """Return the tokens of each text that an engine made to its end."""
    finishes = attempts_by_generation(records, "finish")
    return {
        generation: line["tokens"]
        for generation, lines in finishes.items()
        for line in lines
        if line["reason"] in _WHOLE
    }


def samples(records):
    """Return every collected `Sample`, as often as it was delivered."""
    submits = {
        (line["run"], line["step"]): line for line in records.of("submit")
    }
    return [
        _sample(line, collected, submits)
        for line in records.of("collect")
        for collected in line["samples"]
    ]


def _sample(line, collected, submits):
    submit = submits.get((line["run"], collected["step"]))
    groups = submit["groups"] if submit else ()
    group = next(
        (
            one
            for one in groups
            if one["group"] == collected["group"]
            and collected["index"] < one["samples"]
        ),
        None,
    )
    name = f"{collected['step']}/{collected['group']}/{collected['index']}"
    sample_id = f"{line['run']}/{name}"
    return Sample(sample_id, line["run"], collected, line["at"], submit, group)


def answers_by_ask(records):
    """Return the lists of answers, by the caller's number of the ask."""
    return reader.group_by(records.of("answer"), "ask")


def left_asks(records):
    """Return the asks that callers gave up on purpose."""
    return {line["ask"] for line in records.of("left")}


def runs_of(ask, records):
    """Return the lines of servers that took up what `ask` asked for."""
    if is_model_ask(ask):
        wanted = generation_of_ask(ask)
        return [
            line
            for line in records.of("start")
            if generation_of_start(line) == wanted
        ]
    if ask["idempotent"]:
        return [
            line
            for line in records.of("lookup")
            if "/" + line["path"].lstrip("/") == ask["path"]
        ]
    if ask["key"]:
        return [
            line for line in records.of("run") if line["key"] == ask["key"]
        ]
    wanted = texts.digest(ask["body"])
    return [line for line in records.of("run") if line["digest"] == wanted]
