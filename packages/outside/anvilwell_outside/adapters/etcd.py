"""Adapter for the key-value service: the JSON gateway of etcd v3."""

from anvilwell_kernel import exceptions

from anvilwell_outside.adapters import etcd_watch
from anvilwell_outside.adapters import etcd_wire
from anvilwell_outside.adapters import http_adapter
from anvilwell_outside.adapters import http_client
from anvilwell_outside.adapters import json_bodies
from anvilwell_outside.adapters import meter as meters
from anvilwell_outside.adapters import responses
from anvilwell_outside.ports import keyvalue

_READ = "read"
_WRITE = "write"


class Etcd(http_adapter.HttpAdapter, keyvalue.KeyValue):
    """Calls the etcd gateway; never retries a call.

    Parameters
    ----------
    client : http_client.HttpClient
        Connections to the gateway.
    meter : meter.CallMeter, optional
        Counter of the calls; a new one by default.
    """

    def __init__(self, client, meter=None):
        super().__init__(client)
        self.meter = meter or meters.CallMeter()

    @classmethod
    def from_config(cls, config, meter=None):
        """Create the adapter from section ``[keyvalue]`` of the settings."""
        return cls(http_client.HttpClient(*config.endpoints), meter)

    def get(self, key, *, purpose, timeout_s):
        """Return the `Entry` of `key`, or None."""
        body = {"key": etcd_wire.encode_key(key)}
        response = self._range(body, purpose, timeout_s)
        return next(map(etcd_wire.entry, response.get("kvs", [])), None)

    def get_prefix(self, prefix, *, purpose, timeout_s):
        """Return a `Snapshot` of all keys that start with `prefix`."""
        body = etcd_wire.prefix_range(prefix)
        response = self._range(body, purpose, timeout_s)
        entries = map(etcd_wire.entry, response.get("kvs", []))
        return keyvalue.Snapshot(
            {entry.key: entry for entry in entries},
            response["header"].get("revision", 0),
        )

    def swap(self, swaps, *, purpose, timeout_s):
        """Apply all `swaps`, or none if the condition of one does not hold.

        `swaps` may also contain `Guard`s.
        """
        body = etcd_wire.swap_txn(swaps)
        response = self._call(
            "kv/txn", body, etcd_wire.TXN, purpose, _WRITE, timeout_s
        )
        landed = response.get("succeeded", False)
        kvs = [
            kv
            for operation in response.get("responses", [])
            for kv in operation.get("response_range", {}).get("kvs", [])
        ]
        return keyvalue.SwapResult(
            landed,
            response["header"].get("revision", 0),
            {entry.key: entry for entry in map(etcd_wire.entry, kvs)},
        )

    def grant(self, ttl_s, *, purpose, timeout_s):
        """Create a lease of `ttl_s` seconds and return its id."""
        body = {"TTL": str(ttl_s)}
        response = self._call(
            "lease/grant", body, etcd_wire.LEASE, purpose, _WRITE, timeout_s
        )
        return response["ID"]

    def keep_alive(self, lease, *, purpose, timeout_s):
        """Renew `lease`; return its TTL in seconds, 0 if it has expired."""
        response = self._call(
            "lease/keepalive",
            {"ID": str(lease)},
            etcd_wire.KEEP_ALIVE,
            purpose,
            _WRITE,
            timeout_s,
        )
        return response["result"].get("TTL", 0)

    def revoke(self, lease, *, purpose, timeout_s):
        """End `lease` and delete its keys; does nothing if it has expired."""
        try:
            self._call(
                "lease/revoke",
                {"ID": str(lease)},
                etcd_wire.LEASE,
                purpose,
                _WRITE,
                timeout_s,
            )
        except exceptions.NotFound:
            return

    def watch(self, prefix, from_revision, *, purpose, timeout_s):
        """Return an `EtcdWatch` of the changes from `from_revision` on."""
        create = {
            **etcd_wire.prefix_range(prefix),
            "start_revision": str(from_revision),
            "progress_notify": True,
        }
        self.meter.count(purpose, "watch")
        try:
            response = self._client.open(
                "POST",
                "/v3/watch",
                body=json_bodies.encode({"create_request": create}),
                headers=json_bodies.CONTENT_TYPE,
                timeout_s=timeout_s,
            )
        except exceptions.AnvilwellError as error:
            raise _unavailable(error) from error
        if response.status != 200:
            response.close()
            raise exceptions.KeyValueUnavailable(
                f"the watch request failed with status {response.status}"
            )
        self.meter.count_waiting(purpose, 1)
        return etcd_watch.EtcdWatch(
            response,
            self._client,
            timeout_s,
            lambda: self.meter.count_waiting(purpose, -1),
        )

    def _range(self, body, purpose, timeout_s):
        return self._call(
            "kv/range", body, etcd_wire.RANGE, purpose, _READ, timeout_s
        )

    def _call(self, path, body, adapter, purpose, kind, timeout_s):
        self.meter.count(purpose, kind)
        try:
            response = self._client.call(
                "POST",
                f"/v3/{path}",
                body=json_bodies.encode(body),
                headers=json_bodies.CONTENT_TYPE,
                timeout_s=timeout_s,
            )
            responses.check_status(response, path)
            return json_bodies.decode(adapter, response.body, path)
        except (exceptions.BadRequest, exceptions.NotFound):
            raise
        except exceptions.AnvilwellError as error:
            raise _unavailable(error) from error


def _unavailable(error):
    return exceptions.KeyValueUnavailable(
        f"key-value service: {error.message}",
        verdict=error.verdict,
        retry_after=error.retry_after,
    )
