"""Measures entry and agent against an engine called directly.

``scripts/relay.sh`` starts the processes and calls this.
"""

import concurrent.futures
import os
import time

from absl import flags

from anvilwell_bench.relay import report
from anvilwell_bench.relay import streams
from anvilwell_bench.relay import usage

_FLAGS = flags.FLAGS
_SAMPLE_S = 0.25
_PROCESSES = ("entry", "agent")

flags.DEFINE_string("engine", "", "host:port of an engine.")
flags.DEFINE_string("entry", "", "host:port of the entry.")
flags.DEFINE_string("entry_admin", "", "host:port of the entry's metrics.")
flags.DEFINE_string("agent_admin", "", "host:port of an agent's metrics.")
flags.DEFINE_string("relay_model", "planner-lm", "Service to ask for.")
flags.DEFINE_integer("streams", 540, "Streams open at a time.")
flags.DEFINE_integer("stream_tokens", 470, "Tokens of each stream.")
flags.DEFINE_integer("rounds", 2, "Answers of each stream's place.")
flags.DEFINE_string("relay_priority", "live", "Class of the load.")


def relay(args):
    """Print the added latency and the cost; return an exit status."""
    if not _FLAGS.entry:
        print("relay: not run; run `make relay`, which starts its processes")
        return os.EX_OK
    engine = streams.Target("engine", f"http://{_FLAGS.engine}")
    entry = streams.Target("entry", f"http://{_FLAGS.entry}")
    failed, lines = _measure_latency(engine, entry)
    _print("few streams", lines)
    result, lines = _measure_load(entry)
    _print(f"{_FLAGS.streams} streams", lines)
    return os.EX_SOFTWARE if failed + result.failed else os.EX_OK


def _measure_latency(engine, entry):
    shape = streams.Shape(4, 40 if _FLAGS.quick else 200, 20)
    streams.run(entry, _FLAGS.relay_model, shape._replace(requests=8))
    direct = streams.run(engine, _FLAGS.relay_model, shape)
    relayed = streams.run(entry, _FLAGS.relay_model, shape)
    failed = direct.failed + relayed.failed
    lines = report.latency_lines(direct, relayed)
    return failed, [*lines, f"failed: {failed}"]


def _measure_load(entry):
    count = _FLAGS.streams
    shape = streams.Shape(
        count,
        count * _FLAGS.rounds,
        _FLAGS.stream_tokens,
        _FLAGS.relay_priority,
    )
    before = _usages()
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        running = pool.submit(streams.run, entry, _FLAGS.relay_model, shape)
        highest = before
        while not running.done():
            time.sleep(_SAMPLE_S)
            highest = _highest(highest, _usages())
        result = running.result()
    after = _usages()
    costs = {
        process: report.Cost(
            after[process].cpu_s - before[process].cpu_s,
            highest[process].memory_bytes - before[process].memory_bytes,
        )
        for process in _PROCESSES
    }
    return result, report.load_lines(result, costs, count)


def _usages():
    urls = (_FLAGS.entry_admin, _FLAGS.agent_admin)
    return {
        process: usage.read(f"http://{url}/metrics")
        for process, url in zip(_PROCESSES, urls, strict=True)
    }


def _highest(one, other):
    return {
        process: max(
            one[process], other[process], key=lambda used: used.memory_bytes
        )
        for process in _PROCESSES
    }


def _print(title, lines):
    print(f"relay, {title}:")
    for line in lines:
        print(f"  {line}")
