"""Hand-made records of a session in which every promise holds."""

import copy

from anvilwell_bench.audit import reader
from anvilwell_bench.audit import texts

RUN = "autumn"
SERVICE = "planner-lm"
BOUND = 1
LENGTH = 6
SEED = 3
GROUP = {
    "group": "g1",
    "prompt": "draft the Kamnik routes",
    "samples": 2,
    "max_tokens": 8,
    "seed": SEED,
}


def line(at, who, kind, **fields):
    return {"at": at, "who": who, "kind": kind, **fields}


def attempt(at, who, request_id, prompt, *, index=0, runs=(("7", LENGTH),)):
    """Return the lines of an attempt; `runs` are (version, count)."""
    lines = [
        line(
            at,
            who,
            "start",
            request_id=request_id,
            prompt=texts.digest(prompt),
            seed=SEED + index,
            index=0,
            first=0,
        )
    ]
    place = 0
    for version, count in runs:
        lines.append(
            line(
                at + 0.5,
                who,
                "token",
                request_id=request_id,
                first=place,
                count=count,
                version=version,
            )
        )
        place += count
    finish = line(
        at + 0.5,
        who,
        "finish",
        request_id=request_id,
        reason="length",
        first=0,
        tokens=place,
    )
    return [*lines, finish]


def ask(at, name, *, entry="entry-1", prompt="", body="", key=""):
    return line(
        at,
        "caller",
        "ask",
        ask=name,
        entry=entry,
        service=SERVICE if prompt else "stops-app",
        method="POST",
        path="/v1/completions" if prompt else "/notices",
        key=key,
        idempotent=bool(prompt),
        prompt=prompt,
        seed=SEED,
        max_tokens=8 if prompt else 0,
        body=body,
    )


def answer(at, name, *, text="", status=200, verdict="", reason=""):
    return line(
        at,
        "caller",
        "answer",
        ask=name,
        request_id=f"r-{name}",
        status=status,
        whole=not verdict,
        text=text,
        verdict=verdict,
        reason=reason,
        latency_s=1.0,
    )


def sample(position, index, versions=("7",)):
    return {
        "position": position,
        "step": 1,
        "group": "g1",
        "index": index,
        "text": texts.text(GROUP["prompt"], SEED + index, 0, LENGTH),
        "tokens": LENGTH,
        "versions": list(versions),
    }


def collect(at, cursor, next_cursor, samples):
    return line(
        at,
        "trainer",
        "collect",
        run=RUN,
        cursor=cursor,
        next_cursor=next_cursor,
        idle_s=1.5,
        samples=samples,
    )


def apply(at, generation, version):
    return line(
        at,
        "operator",
        "apply",
        service=SERVICE,
        change_id=f"change-{generation}",
        outcome="in-force",
        generation=generation,
        version=version,
    )


def probe(at, daemon, generation):
    return line(
        at,
        "prober",
        "probe",
        daemon=daemon,
        service=SERVICE,
        generation=generation,
    )


def order(at, version):
    return line(
        at,
        "engine-1",
        "order",
        order="activate",
        argument=version,
        fencing=1,
        outcome="done",
    )


def _training():
    return [
        line(
            2.0,
            "trainer",
            "submit",
            run=RUN,
            step=1,
            service=SERVICE,
            staleness_bound=BOUND,
            groups=[copy.deepcopy(GROUP)],
        ),
        line(2.1, "trainer", "version", run=RUN, version="8"),
        *attempt(3.0, "engine-1", "s0", GROUP["prompt"]),
        *attempt(
            3.0,
            "engine-2",
            "s1",
            GROUP["prompt"],
            index=1,
            runs=(("7", 4), ("8", 2)),
        ),
        collect(4.0, 0, 1, [sample(0, 0)]),
        collect(5.0, 1, 2, [sample(1, 1, ("7", "8"))]),
    ]


def _calling():
    prompts = [f"when does bus {number} come" for number in range(2)]
    own = [texts.text(prompt, SEED, 0, LENGTH) for prompt in prompts]
    notice = "bus 4 leaves at 7.10"
    return [
        ask(6.0, "a0", prompt=prompts[0]),
        *attempt(6.1, "engine-1", "c0", prompts[0]),
        answer(7.0, "a0", text=own[0]),
        ask(6.2, "a1", entry="entry-2", prompt=prompts[1]),
        *attempt(6.3, "engine-2", "c1", prompts[1]),
        answer(8.0, "a1", text=own[1]),
        ask(6.4, "a2", prompt="too much at once"),
        answer(6.5, "a2", status=503, verdict="not-run", reason="overloaded"),
        ask(6.6, "n1", body=notice, key="k1"),
        line(
            6.7,
            "plain-1",
            "run",
            request_id="n1",
            key="k1",
            path="/notices",
            digest=texts.digest(notice),
        ),
        answer(6.8, "n1", text=texts.digest(notice), status=201),
    ]


def _operating():
    return [
        apply(1.0, 1, "7"),
        probe(1.1, "entry-1", 1),
        probe(1.1, "entry-2", 1),
        apply(9.0, 2, "8"),
        order(9.1, "8"),
        line(9.2, "engine-1", "swap", version="8"),
        probe(9.5, "entry-1", 2),
        line(7.5, "operator", "stop", daemon="entry-2", server=""),
        line(8.5, "operator", "stopped", daemon="entry-2", code=0),
        line(10.0, "operator", "leave", server="engine-2"),
    ]


def lines():
    """Return the lines of the whole session."""
    return [*_training(), *_calling(), *_operating()]


def records(changed=None):
    """Return validated records of `changed` lines, or of all clean."""
    return reader.Records.from_lines(changed or lines())
