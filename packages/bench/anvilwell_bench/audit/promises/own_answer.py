"""A caller gets the whole answer to its own request."""

import itertools

from anvilwell_bench.audit import history
from anvilwell_bench.audit import promise
from anvilwell_bench.audit import texts


class OwnWholeAnswer(promise.Promise):
    """Makes each text again from the caller's own prompt and seed."""

    name = "own-answer"

    def check(self, records):
        """Return breaches of answers and of samples."""
        return [
            *self._check_answers(records),
            *self._check_samples(records),
        ]

    def evidence(self, records):
        """Return how many whole answers and samples there were."""
        whole = [line for line in records.of("answer") if line["whole"]]
        return len(whole) + len(history.samples(records))

    def _check_answers(self, records):
        answers_by_ask = history.answers_by_ask(records)
        asks = records.of("ask")
        checked = self._check_asks(asks, answers_by_ask, records)
        unasked = set(answers_by_ask) - {line["ask"] for line in asks}
        return itertools.chain(
            checked,
            (self.breach("answer to no ask", name) for name in unasked),
        )

    def _check_asks(self, asks, answers_by_ask, records):
        lengths = history.lengths_by_generation(records)
        left = history.left_asks(records)
        for ask in asks:
            name = ask["ask"]
            answers = answers_by_ask.get(name, [])
            if name in left and not answers:
                continue
            if len(answers) != 1:
                yield self.breach(f"{len(answers)} answers to one ask", name)
                continue
            problem = _problem(ask, answers[0], lengths, records)
            if problem:
                yield self.breach(problem, name, answers[0]["request_id"])

    def _check_samples(self, records):
        lengths = history.lengths_by_generation(records)
        for sample in history.samples(records):
            problem = sample.group and _sample_problem(sample, lengths)
            if problem:
                yield self.breach(problem, sample.sample_id)


def _problem(ask, answer, lengths, records):
    if answer["whole"]:
        return _whole_problem(ask, answer, lengths, records)
    if answer["verdict"] or _entry_was_down(ask, answer, records):
        return None
    return f"cut off without a verdict, status {answer['status']}"


def _whole_problem(ask, answer, lengths, records):
    if history.is_model_ask(ask):
        length = lengths.get(history.generation_of_ask(ask))
        return _text_problem(
            answer["text"], ask["prompt"], ask["seed"], 0, length
        )
    return _plain_problem(ask, answer, records)


def _plain_problem(ask, answer, records):
    if not history.runs_of(ask, records):
        return "answered as whole, but no backend server ran it"
    own = texts.digest(ask["body"] or ask["path"].lstrip("/"))
    if own not in answer["text"]:
        return "the answer is not to this request"
    return None


def _sample_problem(sample, lengths):
    collected = sample.collected
    problem = _text_problem(
        collected["text"],
        sample.group["prompt"],
        sample.group["seed"] + collected["index"],
        0,
        lengths.get(sample.generation),
    )
    count = texts.count_tokens(collected["text"])
    if not problem and collected["tokens"] != count:
        return f"says {collected['tokens']} tokens, has {count}"
    return problem


def _text_problem(text, prompt, seed, index, length):
    count = texts.count_tokens(text)
    strange = texts.count_strange(text, prompt, seed, index)
    if strange:
        return f"{strange} of {count} tokens are not its own"
    if length is None:
        return "no engine made it to its end"
    if count != length:
        return f"has {count} tokens, whole is {length}"
    return None


def _entry_was_down(ask, answer, records):
    stops = [
        line["at"]
        for line in records.of("stop")
        if line["daemon"] == ask["entry"]
    ]
    kills = [
        line["at"]
        for line in records.of("kill")
        if line["process"] == ask["entry"]
    ]
    return any(at <= answer["at"] for at in [*stops, *kills])
