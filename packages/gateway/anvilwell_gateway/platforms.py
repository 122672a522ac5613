"""The set of ports that an adapter to a platform implements."""

import typing

from anvilwell_gateway import dialect as dialects
from anvilwell_gateway.duties import usage_platform
from anvilwell_gateway import engine as engines
from anvilwell_gateway import store as stores
from anvilwell_gateway import store_codec
from anvilwell_gateway import store_paths


class Platform(typing.NamedTuple):
    """The parts that an adapter to a platform provides.

    ``engine_at`` takes the address of an engine, and
    ``usage_platform_at`` the address that receives usage reports.
    """

    store: stores.AsyncStore
    store_path: store_paths.FailoverPath
    codec: store_codec.StoreCodec
    dialect: dialects.Dialect
    engine_at: typing.Callable[..., engines.Engine]
    usage_platform_at: typing.Callable[..., usage_platform.UsagePlatform]
