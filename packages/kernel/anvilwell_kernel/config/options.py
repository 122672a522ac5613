"""Types of options, each with its validation and a suggested fix."""

import ipaddress
import pathlib
import typing
from urllib import parse

import pydantic

_DECIMAL = r"(0|[1-9][0-9]*)"
_NAME = r"^[A-Za-z0-9]([A-Za-z0-9_.-]{0,61}[A-Za-z0-9])?$"


class Fix(typing.NamedTuple):
    """What the user should do if a value of the annotated type is wrong."""

    text: str


class Address(typing.NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self):
        """Return ``ip:port``, with brackets around an IPv6 address."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_address(text):
    """Return the `Address` that `text`, as ``ip:port``, denotes.

    Raises
    ------
    ValueError
        If the host is not an IP address or the port is not a number
        from 0 to 65535.
    """
    if isinstance(text, Address):
        return text
    parts = parse.urlsplit(f"//{text.strip()}")
    if parts.port is None or parts.netloc != text.strip():
        raise ValueError("text is not of the form ip:port")
    if "@" in parts.netloc:
        raise ValueError("text is not of the form ip:port")
    return Address(str(ipaddress.ip_address(parts.hostname)), parts.port)


def split_list(text):
    """Return the items of a comma-separated `text`, without spaces around.

    A value that is not a string is returned unchanged.
    """
    if not isinstance(text, str):
        return text
    return tuple(part.strip() for part in text.split(",") if part.strip())


AddressOption = typing.Annotated[
    Address,
    pydantic.BeforeValidator(parse_address),
    Fix("give an IP address and a port, such as 10.0.0.7:7300"),
]
AddressList = typing.Annotated[
    tuple[AddressOption, ...],
    pydantic.BeforeValidator(split_list),
    Fix("give ip:port, ip:port, ..."),
]
TextList = typing.Annotated[
    tuple[str, ...],
    pydantic.BeforeValidator(split_list),
    Fix("give values separated by commas"),
]
Share = typing.Annotated[
    float,
    pydantic.Field(ge=0, le=1, allow_inf_nan=False),
    Fix("give a share from 0 to 1, such as 0.5"),
]
Duration = typing.Annotated[
    float,
    pydantic.Field(gt=0, le=86400, allow_inf_nan=False),
    Fix("give seconds above 0 and up to 86400, such as 2.5"),
]
Rate = typing.Annotated[
    float,
    pydantic.Field(gt=0, allow_inf_nan=False),
    Fix("give a number above 0, such as 1.0"),
]
Count = typing.Annotated[
    int,
    pydantic.Field(ge=1, le=1 << 40),
    Fix("give an integer of 1 or more"),
]
CountOrZero = typing.Annotated[
    int,
    pydantic.Field(ge=0, le=1 << 40),
    Fix("give an integer of 0 or more"),
]
Name = typing.Annotated[
    str,
    pydantic.StringConstraints(pattern=_NAME),
    Fix(
        "use up to 63 letters, digits, '-', '_' and '.', with a letter "
        "or digit at both ends"
    ),
]
# Leading zeros are not allowed, because two different version texts must not
# stand for the same number.
Version = typing.Annotated[
    str,
    pydantic.StringConstraints(pattern=rf"^{_DECIMAL}$", max_length=18),
    Fix("give the version's number, such as 7"),
]
Flag = typing.Annotated[bool, Fix("give true or false")]
Path = typing.Annotated[pathlib.Path, Fix("give a path")]
Secret = typing.Annotated[
    pydantic.SecretStr,
    pydantic.Field(min_length=1),
    Fix("give the secret; its value is never shown"),
]
