"""The schema of a service document."""

import types
import typing


import typing_extensions

from anvilwell_kernel.config import options
from anvilwell_kernel.documents import calls

SCHEMA = 1
Doc = typing_extensions.Doc
Kind = typing.Literal["model", "plain"]


class ServiceSection(typing.NamedTuple):
    """``[service]``: the name and kind of the service."""

    name: typing.Annotated[options.Name, Doc("Name of the service")]
    kind: typing.Annotated[
        Kind, Doc("`model` for model engines, `plain` for other HTTP servers")
    ]
    schema: typing.Annotated[
        options.Count, Doc("Version of the document's schema")
    ] = SCHEMA


class ModelSection(typing.NamedTuple):
    """``[model]``: the model that the engines load; kind ``model`` only."""

    name: typing.Annotated[
        options.Name, Doc("Name of the model in the weight store")
    ]
    version: typing.Annotated[
        options.Version, Doc("Weight version that all replicas should load")
    ]
    staleness_bound: typing.Annotated[
        options.CountOrZero,
        Doc("Maximum number of versions that a sample may lag its trainer"),
    ]
    live_floor: typing.Annotated[
        options.Share,
        Doc("Share of the replicas that stays in service during a rollout"),
    ] = 0.5
    preference: typing.Annotated[
        options.Share,
        Doc("From 0 for least trainer idle time to 1 for least staleness"),
    ] = 0.0


class TrafficSection(typing.NamedTuple):
    """``[traffic]``: how the service's traffic is shared and limited."""

    live_reserve: typing.Annotated[
        options.Share, Doc("Share of the capacity reserved for live callers")
    ] = 0.2
    max_queue: typing.Annotated[
        options.CountOrZero,
        Doc("Maximum number of requests that wait for one replica"),
    ] = 64
    deadline_s: typing.Annotated[
        options.Duration,
        Doc("Deadline of a request that sets none, in seconds"),
    ] = 30.0
    retry_budget: typing.Annotated[
        options.Share,
        Doc("Maximum number of retries, as a share of the requests"),
    ] = 0.1


class CallsSection(typing.NamedTuple):
    """``[calls]``: calls of a plain service that must not be repeated."""

    non_idempotent: typing.Annotated[
        calls.CallList,
        Doc("Calls that run at most once; `*` matches any text"),
    ] = ()

    def is_idempotent(self, method, path):
        """Return whether the call may safely be repeated."""
        return not any(
            pattern.matches(method, path) for pattern in self.non_idempotent
        )


Weights = dict[options.Name, options.Rate]


class Document(typing.NamedTuple):
    """A validated service document.

    ``trainers`` holds the fair-share weight of each run, and ``teams`` the
    request rate of each team, in requests per second.
    """

    service: ServiceSection
    model: ModelSection | None = None
    traffic: TrafficSection = TrafficSection()
    trainers: Weights = types.MappingProxyType({})
    teams: Weights = types.MappingProxyType({})
    calls: CallsSection = CallsSection()
