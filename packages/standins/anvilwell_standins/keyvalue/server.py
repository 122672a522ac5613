"""The service's HTTP interface."""

import collections
import functools
import json
import threading
import time

from anvilwell_kernel import clock as clocks
from anvilwell_kernel import web
import werkzeug

from anvilwell_standins.base import limits
from anvilwell_standins.base import server
from anvilwell_standins.keyvalue import store as stores
from anvilwell_standins.keyvalue import transactions
from anvilwell_standins.keyvalue import wire

PROGRESS_S = 5.0
_EXPIRE_S = 0.05
_WAIT_S = 0.5


class KeyValue(server.StandIn):
    """A linearizable key-value service that counts every call.

    Parameters
    ----------
    rate : float
        Calls a second that are let through; 0 for no limit.
    clock : clock.Clock, optional
        Source of monotonic time, for the leases.
    """

    name = "keyvalue"
    own_faults = ("roll-back", "rate-limit", "compact")

    def __init__(self, *, rate=0.0, clock=None, **kwargs):
        kwargs.setdefault("threads", 128)
        super().__init__(**kwargs)
        clock = clock or clocks.SystemClock()
        self.store = stores.Store(clock, self._record_write)
        self._bucket = limits.TokenBucket(rate, rate, clock)
        self._counts_by_call = collections.Counter()
        self._waiting_watches = 0
        self._count_lock = threading.Lock()
        self.immediate_by_kind.update(
            {
                "roll-back": self._roll_back,
                "rate-limit": self._limit_rate,
                "compact": self._compact_now,
            }
        )
        self._add_routes()
        self._expiry = threading.Thread(target=self._expire, daemon=True)
        self._expiry.start()

    def _add_routes(self):
        act_by_call = {
            "kv/range": (wire.RANGE, transactions.read_range),
            "kv/put": (wire.PUT, _put),
            "kv/deleterange": (wire.DELETE, _delete),
            "kv/txn": (wire.TXN, transactions.run_txn),
            "kv/compaction": (wire.COMPACT, _compact),
            "lease/grant": (wire.LEASE, _grant),
            "lease/keepalive": (wire.LEASE, _keep_alive),
            "lease/revoke": (wire.LEASE, _revoke),
        }
        for call, (adapter, act) in act_by_call.items():
            handler = functools.partial(self._serve, call, adapter, act)
            self.route(f"/v3/{call}", handler, ("POST",))
        self.route("/v3/watch", self._watch, ("POST",))
        self.route("/counts", self._show_counts, guarded=False)

    def counts_by_call(self):
        """Return how often each call came, and the watches waiting."""
        with self._count_lock:
            waiting = {"watches waiting": self._waiting_watches}
            return {**self._counts_by_call, **waiting}

    def _serve(self, call, adapter, act, request):
        self._count(call)
        body = web.json_body(request, adapter)
        with self.store.changed:
            answer = act(self.store, body)
        return web.json_response(answer)

    def _count(self, call):
        with self._count_lock:
            self._counts_by_call[call] += 1
        wait_s = self._bucket.take()
        if wait_s:
            raise limits.RateLimited(
                "etcdserver: too many requests", retry_after=wait_s
            )

    def _watch(self, request):
        self._count("watch")
        create = web.json_body(request, wire.WATCH).create_request
        self._add_waiting(1)
        response = werkzeug.Response(
            self._changes(create), content_type="application/json"
        )
        response.call_on_close(lambda: self._add_waiting(-1))
        return response

    def _add_waiting(self, change):
        with self._count_lock:
            if self._waiting_watches + change > self.stream_limit:
                raise limits.TooManyStreams(
                    f"{self.stream_limit} watches wait already"
                )
            self._waiting_watches += change

    def _changes(self, create):
        epoch = self.epoch()
        following = create.start_revision or self.store.revision + 1
        yield _line(self.store, created=True)
        while True:
            try:
                events, following = self._next_events(create, following, epoch)
            except stores.Compacted:
                yield _line(
                    self.store,
                    canceled=True,
                    compact_revision=str(self.store.compacted),
                )
                return
            if events or create.progress_notify:
                yield _line(self.store, events=events)

    def _next_events(self, create, following, epoch):
        """Return encoded events and the revision after them."""
        until = time.monotonic() + PROGRESS_S
        changed = self.store.changed
        with changed:
            while True:
                self.check_epoch(epoch)
                events = self.store.events_since(
                    following, create.key, create.range_end
                )
                following = max(following, self.store.revision + 1)
                if events or time.monotonic() >= until:
                    return [wire.encode_event(e) for e in events], following
                changed.wait(_WAIT_S)

    def _expire(self):
        while not self.stopped.wait(_EXPIRE_S):
            with self.store.changed:
                self.store.expire()

    def _record_write(self, event):
        self.record.add(
            "write",
            key=event.key.decode(errors="replace"),
            revision=event.revision,
            deleted=event.after is None,
        )

    def _show_counts(self, request):
        return web.json_response(self.counts_by_call())

    def _roll_back(self, fault):
        with self.store.changed:
            self.store.roll_back(self.store.revision - int(fault.amount))
        self.cut_streams()

    def _limit_rate(self, fault):
        self._bucket.rate = fault.amount

    def _compact_now(self, fault):
        with self.store.changed:
            self.store.compact(int(fault.amount) or self.store.revision)


def _line(store, **result):
    body = {"result": {"header": transactions.header(store), **result}}
    return json.dumps(body).encode() + b"\n"


def _put(store, request):
    store.expire()
    store.check_put(request.value, request.lease)
    store.put(request.key, request.value, request.lease, store.begin())
    return {"header": transactions.header(store)}


def _delete(store, request):
    count = len(store.range(request.key, request.range_end))
    if count:
        store.delete(request.key, request.range_end, store.begin())
    return {"header": transactions.header(store), "deleted": str(count)}


def _compact(store, request):
    store.compact(request.revision)
    return {"header": transactions.header(store)}


def _grant(store, request):
    lease = store.grant(request.TTL, request.ID)
    return {
        "header": transactions.header(store),
        "ID": str(lease.lease_id),
        "TTL": str(lease.ttl_s),
    }


def _keep_alive(store, request):
    ttl_s = store.keep_alive(request.ID)
    result = {"header": transactions.header(store), "ID": str(request.ID)}
    if ttl_s:
        result["TTL"] = str(ttl_s)
    return {"result": result}


def _revoke(store, request):
    store.revoke(request.ID)
    return {"header": transactions.header(store)}
