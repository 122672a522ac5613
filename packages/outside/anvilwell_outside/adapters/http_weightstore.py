"""Adapter for the weight store, a JSON API over HTTP."""

from urllib import parse

import pydantic
import typing_extensions

from anvilwell_outside.adapters import http_adapter
from anvilwell_outside.adapters import json_bodies
from anvilwell_outside.adapters import responses
from anvilwell_outside.ports import weightstore


class _VersionsBody(typing_extensions.TypedDict):
    versions: list[str]


_VERSIONS = pydantic.TypeAdapter(_VersionsBody)


class HttpWeightStore(http_adapter.HttpAdapter, weightstore.WeightStore):
    """Lists weight versions; never fetches the weights themselves."""

    def versions(self, model, *, timeout_s):
        """Return the names of `model`'s published versions, oldest first.

        Raises
        ------
        exceptions.Refused
            If the rate limit is reached; its ``retry_after`` is the number
            of seconds to wait.
        """
        name = parse.quote(model, safe="")
        response = self._client.call(
            "GET", f"/models/{name}/versions", timeout_s=timeout_s
        )
        responses.check_status(response, "weight store")
        body = json_bodies.decode(_VERSIONS, response.body, "weight store")
        return body["versions"]

    def has(self, model, version, *, timeout_s):
        """Return whether `version` of `model` is published."""
        return version in self.versions(model, timeout_s=timeout_s)
