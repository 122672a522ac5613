"""What an adapter to a platform brings."""

import typing

from anvilwell_gateway import dialect as dialects
from anvilwell_gateway.duties import port
from anvilwell_gateway import engine as engines
from anvilwell_gateway import store as stores
from anvilwell_gateway import store_codec
from anvilwell_gateway import store_paths


class Platform(typing.NamedTuple):
    """The adapter's parts.

    ``engine_at`` takes an engine's address, ``duties_at`` that of what is
    told of usage.
    """

    store: stores.AsyncStore
    store_path: store_paths.FailoverPath
    codec: store_codec.StoreCodec
    dialect: dialects.Dialect
    engine_at: typing.Callable[..., engines.Engine]
    duties_at: typing.Callable[..., port.DutyPlatform]
