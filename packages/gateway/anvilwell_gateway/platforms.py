"""What an adapter to a platform brings."""

import typing

from anvilwell_gateway import dialect as dialects
from anvilwell_gateway import engine as engines
from anvilwell_gateway import entries
from anvilwell_gateway import paths as ways
from anvilwell_gateway import store as stores


class Platform(typing.NamedTuple):
    """The adapter's parts; ``engine`` is None but for agents."""

    store: stores.AsyncStore
    paths: ways.Paths
    codec: entries.EntryCodec
    dialect: dialects.Dialect
    engine: engines.Engine | None = None
