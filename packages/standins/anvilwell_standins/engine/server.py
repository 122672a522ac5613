"""The engine's HTTP interface."""

import os
import typing

from anvilwell_kernel import exceptions
from anvilwell_kernel import web
import pydantic
import werkzeug

from anvilwell_standins.base import limits
from anvilwell_standins.base import server
from anvilwell_standins.engine import batching
from anvilwell_standins.engine import cache
from anvilwell_standins.engine import intake
from anvilwell_standins.engine import report
from anvilwell_standins.engine import requests
from anvilwell_standins.engine import streams
from anvilwell_standins.engine import text

_EXPORTED = pydantic.TypeAdapter(cache.Exported)
_CRASH_STATUS = 70
_FOREVER_S = 3600.0


class Shape(typing.NamedTuple):
    """Size and pace of an engine; times in seconds."""

    slots: int = 8
    token_s: float = 0.005
    tokens_per_tick: int = 1
    prefill_s: float = 0.0
    cache_blocks: int = 256
    length_tail: bool = False
    load_lag_s: float = 0.0
    event_lag_s: float = 0.0
    event_gap: float = 0.0
    seed: int = 0


class Engine(server.StandIn):
    """An OpenAI-compatible engine that makes text of digests.

    Parameters
    ----------
    held : weights.Weights
        The weight versions and the fencing numbers.
    shape : Shape
        Size and pace.
    """

    name = "engine"
    own_faults = (
        "crash",
        "cut",
        "stuck",
        "slow-tokens",
        "swap-failed",
        "tags-late",
        "error-after-run",
    )

    def __init__(self, held, shape=None, **kwargs):
        super().__init__(**kwargs)
        shape = shape or Shape()
        self.weights = held
        self._shape = shape
        self._late_tags = 0
        self._crash_after = None
        self._crash_fault = None
        self._cache = cache.PrefixCache(
            shape.cache_blocks,
            lag_s=shape.event_lag_s,
            gap=shape.event_gap,
            seed=shape.seed,
        )
        self._imports = cache.Imports()
        self._batch = batching.Batch(
            shape.slots, shape.token_s, shape.tokens_per_tick, held.current
        )
        self._report = report.LoadReport(self._load, shape.load_lag_s)
        self.immediate_by_kind.update(
            {
                "crash": self._script_crash,
                "stuck": self._get_stuck,
                "slow-tokens": self._slow_down,
                "tags-late": self._tag_late,
            }
        )
        self._add_routes()
        self._batch.start()
        self._report.start()

    def _add_routes(self):
        self.route("/v1/completions", self._complete, ("POST",))
        self.route("/cancel", self._cancel, ("POST",))
        self.route("/orders", self._order, ("POST",))
        self.route("/metrics", self._metrics)
        self.route("/events", self._events)
        self.route("/cache/<path:request_id>", self._export)
        self.route("/cache/<path:request_id>", self._import, ("PUT",))

    def close(self):
        """Cut all streams and stop."""
        self.stopped.set()
        self._report.stop()
        self._batch.stop()
        super().close()

    def crash(self, seconds):
        """Lose all state and refuse connections for `seconds`."""
        self.record.add("crash", seconds=seconds)
        self.cut_streams()
        self._batch.cut_all()
        self.weights.reset()
        self._cache.clear()
        self._imports.clear()
        self.go_down(seconds)

    def _complete(self, request):
        completion = requests.parse_completion(request.get_data())
        request_id = request.headers.get("X-Request-Id", "")
        if not request_id:
            raise exceptions.BadRequest("header X-Request-Id is missing")
        run = self._start_run(request_id, completion)
        reader = streams.Reader(self, run)
        tags = streams.TagDelay(self._late_tags)
        call = f"{request.method} {request.path}"
        if self.faults.take("error-after-run", call):
            return self._fail_after(reader, run)
        if not completion.stream:
            return self._answer_whole(reader, run, tags)
        cut = self.faults.take("cut", call)
        chunks = streams.encode_stream(reader, completion.index, tags)
        response = werkzeug.Response(
            self._watched(chunks, cut), content_type="text/event-stream"
        )
        response.call_on_close(lambda: self._leave(reader, run))
        return response

    def _start_run(self, request_id, completion):
        sample = intake.plan(
            request_id,
            completion,
            self._imports.get(request_id),
            tail=self._shape.length_tail,
        )
        if sum(self._batch.counts()) >= self.stream_limit:
            raise limits.TooManyStreams(
                f"{self.stream_limit} samples are here already"
            )
        missing = self._cache.use(completion.prompt)
        run = batching.Run(sample, missing * self._shape.prefill_s)
        if not self._batch.submit(run):
            raise exceptions.Conflict(f"{request_id!r} is already running")
        self.record.add(
            "start",
            request_id=request_id,
            model=completion.model,
            prompt=text.digest(completion.prompt),
            seed=completion.seed,
            index=completion.index,
            first=sample.first,
        )
        return run

    def _answer_whole(self, reader, run, tags):
        try:
            body = streams.encode_whole(reader, run.sample.index, tags)
        finally:
            self._leave(reader, run)
        return web.json_response(body)

    def _fail_after(self, reader, run):
        try:
            for _ in reader.pieces():
                continue
        finally:
            self._leave(reader, run)
        raise server.failed("scripted fault, after the run")

    def _watched(self, chunks, cut):
        for sent, chunk in enumerate(chunks):
            if cut and sent >= cut.amount:
                raise server.dropped()
            self._count_down()
            yield chunk

    def _count_down(self):
        if self._crash_after is None:
            return
        self._crash_after -= 1
        if self._crash_after < 0:
            self._crash_after = None
            self._crash_as_told(self._crash_fault)
            raise server.dropped()

    def _leave(self, reader, run):
        self._batch.cancel(run.sample.request_id)
        reader.close()

    def _cancel(self, request):
        request_id = web.json_body(request, requests.CANCEL).request_id
        found = self._batch.cancel(request_id)
        self.record.add("cancel", request_id=request_id, found=found)
        return web.json_response({"cancelled": found})

    def _order(self, request):
        order = web.json_body(request, requests.ORDER)
        act_by_kind = {"load": self.weights.load, "activate": self._activate}
        if order.kind not in act_by_kind:
            raise exceptions.BadRequest(
                f"order {order.kind!r}; known: {sorted(act_by_kind)}"
            )
        outcome = "failed"
        try:
            self.weights.check(order.fencing)
            act_by_kind[order.kind](order.argument)
            outcome = "done"
        except exceptions.AnvilwellError as error:
            outcome = str(error.reason)
            raise
        finally:
            self.record.add(
                "order",
                order=order.kind,
                argument=order.argument,
                fencing=order.fencing,
                outcome=outcome,
            )
        return web.json_response({"outcome": outcome})

    def _activate(self, version):
        fault = self.faults.take("swap-failed", f"activate {version}")
        if fault and fault.mode == "silent":
            return
        if fault:
            raise server.failed("scripted fault, the swap failed")
        self.weights.activate(version)
        self.record.add("swap", version=version, before=self.weights.previous)

    def _load(self):
        running, waiting = self._batch.counts()
        return report.Load(
            running, waiting, self._cache.share(), self.weights.active
        )

    def _metrics(self, request):
        return werkzeug.Response(
            self._report.page(), content_type="text/plain; version=0.0.4"
        )

    def _events(self, request):
        since = request.args.get("since", 0, type=int)
        events = [event._asdict() for event in self._cache.events(since)]
        return web.json_response({"events": events})

    def _export(self, request, request_id):
        found = self._batch.progress(request_id)
        if found is None:
            raise exceptions.NotFound(f"{request_id!r} does not run here")
        sample, position, versions = found
        exported = cache.Exported(
            sample.prompt, sample.seed, sample.index, position, versions
        )
        return werkzeug.Response(
            _EXPORTED.dump_json(exported),
            content_type="application/octet-stream",
        )

    def _import(self, request, request_id):
        self._imports.put(request_id, web.json_body(request, _EXPORTED))
        return web.json_response({"imported": True})

    def _script_crash(self, fault):
        if fault.amount:
            self._crash_fault = fault
            self._crash_after = int(fault.amount)
        else:
            self._crash_as_told(fault)

    def _crash_as_told(self, fault):
        if fault.mode == "exit":
            os._exit(_CRASH_STATUS)
        self.crash(fault.seconds)

    def _get_stuck(self, fault):
        self._batch.hold(fault.seconds or _FOREVER_S)

    def _slow_down(self, fault):
        self._batch.slow_down(fault.amount, fault.seconds or _FOREVER_S)

    def _tag_late(self, fault):
        self._late_tags = int(fault.amount)
