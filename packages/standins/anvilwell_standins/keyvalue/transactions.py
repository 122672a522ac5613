"""Carries out the calls on the store, each as one step."""

import operator

from anvilwell_kernel import exceptions

from anvilwell_standins.keyvalue import store as stores
from anvilwell_standins.keyvalue import wire

_TESTS_BY_RESULT = {
    "EQUAL": operator.eq,
    "NOT_EQUAL": operator.ne,
    "GREATER": operator.gt,
    "LESS": operator.lt,
}
_FIELDS_BY_TARGET = {
    "VERSION": ("version", "version"),
    "CREATE": ("created", "create_revision"),
    "MOD": ("modified", "mod_revision"),
    "VALUE": ("value", "value"),
    "LEASE": ("lease", "lease"),
}


def read_range(store, request):
    """Return the JSON-able answer to a range request."""
    items = store.range(request.key, request.range_end)
    shown = items[: request.limit] if request.limit else items
    body = {"header": header(store)}
    if shown:
        body["kvs"] = [wire.encode_item(item) for item in shown]
    if items:
        body["count"] = str(len(items))
    if len(shown) < len(items):
        body["more"] = True
    return body


def run_txn(store, request):
    """Return the JSON-able answer to a transaction."""
    store.expire()
    succeeded = all(_holds(store, compare) for compare in request.compare)
    operations = request.success if succeeded else request.failure
    _check(store, operations)
    writes = any(operation.request_range is None for operation in operations)
    revision = store.begin() if writes else store.revision
    responses = [_run(store, operation, revision) for operation in operations]
    body = {"header": header(store), "responses": responses}
    if succeeded:
        body["succeeded"] = True
    return body


def header(store):
    """Return the header of an answer."""
    return {
        "cluster_id": "1",
        "member_id": "1",
        "revision": str(store.revision),
        "raft_term": "1",
    }


def _holds(store, compare):
    found = store.range(compare.key)
    absent = stores.Item(compare.key, b"", 0, 0, 0, 0)
    item = found[0] if found else absent
    field, wanted = _FIELDS_BY_TARGET[compare.target]
    test = _TESTS_BY_RESULT[compare.result]
    return test(getattr(item, field), getattr(compare, wanted))


def _check(store, operations):
    """Refuse the whole transaction before any of it is carried out."""
    for operation in operations:
        if sum(part is not None for part in operation) != 1:
            raise exceptions.BadRequest("an operation needs one request")
    puts = [op.request_put for op in operations if op.request_put]
    if len({put.key for put in puts}) < len(puts):
        raise exceptions.BadRequest(
            "etcdserver: duplicate key given in txn request"
        )
    for put in puts:
        store.check_put(put.value, put.lease)


def _run(store, operation, revision):
    if operation.request_range:
        return {"response_range": read_range(store, operation.request_range)}
    if operation.request_put:
        put = operation.request_put
        store.put(put.key, put.value, put.lease, revision)
        return {"response_put": {"header": header(store)}}
    doomed = operation.request_delete_range
    count = store.delete(doomed.key, doomed.range_end, revision)
    answer = {"header": header(store), "deleted": str(count)}
    return {"response_delete_range": answer}
