"""The typed service document."""

import types
import typing


import typing_extensions

from anvilwell_kernel.config import options
from anvilwell_kernel.documents import calls

SCHEMA = 1
Doc = typing_extensions.Doc
Kind = typing.Literal["model", "plain"]


class ServiceSection(typing.NamedTuple):
    """``[service]``: what the service is."""

    name: typing.Annotated[options.Name, Doc("Name of the service")]
    kind: typing.Annotated[
        Kind, Doc("`model` for model engines, `plain` for plain HTTP")
    ]
    schema: typing.Annotated[
        options.Count, Doc("Version of the document's schema")
    ] = SCHEMA


class ModelSection(typing.NamedTuple):
    """``[model]``: what its engines load; for kind ``model`` only."""

    name: typing.Annotated[options.Name, Doc("Model in the weight store")]
    version: typing.Annotated[
        options.Version, Doc("Weight version that all replicas shall have")
    ]
    staleness_bound: typing.Annotated[
        options.CountOrZero,
        Doc("Most versions that a sample may be behind its trainer"),
    ]
    live_floor: typing.Annotated[
        options.Share,
        Doc("Share of the replicas that stays in service in a rollout"),
    ] = 0.5
    preference: typing.Annotated[
        options.Share,
        Doc("0 for least trainer idle time ... 1 for least staleness"),
    ] = 0.0


class TrafficSection(typing.NamedTuple):
    """``[traffic]``: how its traffic is shared and limited."""

    live_reserve: typing.Annotated[
        options.Share, Doc("Share of the capacity kept for live callers")
    ] = 0.2
    max_queue: typing.Annotated[
        options.CountOrZero, Doc("Most requests that wait for one replica")
    ] = 64
    deadline_s: typing.Annotated[
        options.Duration, Doc("Deadline of a request that names none")
    ] = 30.0
    retry_budget: typing.Annotated[
        options.Share, Doc("Most retries, as a share of the requests")
    ] = 0.1


class CallsSection(typing.NamedTuple):
    """``[calls]``: calls of a plain service that may not be repeated."""

    non_idempotent: typing.Annotated[
        calls.CallList,
        Doc("Calls that run at most once; `*` stands for any text"),
    ] = ()

    def is_idempotent(self, method, path):
        """Return whether a call may be repeated without harm."""
        return not any(
            pattern.matches(method, path) for pattern in self.non_idempotent
        )


Weights = dict[options.Name, options.Rate]


class Document(typing.NamedTuple):
    """A whole service document, checked.

    ``trainers`` are fair-share weights by run; ``teams`` are requests
    a second by team.
    """

    service: ServiceSection
    model: ModelSection | None = None
    traffic: TrafficSection = TrafficSection()
    trainers: Weights = types.MappingProxyType({})
    teams: Weights = types.MappingProxyType({})
    calls: CallsSection = CallsSection()
