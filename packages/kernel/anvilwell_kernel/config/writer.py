"""Renders typed settings as INI text."""

import configparser
import io

import pydantic

HIDDEN = "**********"


def render(settings):
    """Return `settings`, a ``NamedTuple`` of sections, as INI text.

    Sections and options that are None are omitted, and secrets are
    replaced by asterisks.
    """
    parser = configparser.ConfigParser(interpolation=None, delimiters=("=",))
    parser.optionxform = str
    parser.read_dict(
        {
            name: _texts_by_key(section)
            for name, section in settings._asdict().items()
            if section is not None
        }
    )
    text = io.StringIO()
    parser.write(text)
    return text.getvalue().rstrip("\n") + "\n"


def _texts_by_key(section):
    values = section if hasattr(section, "keys") else section._asdict()
    return {
        key: render_value(value)
        for key, value in values.items()
        if value is not None
    }


def render_value(value):
    """Return the value of an option as INI text."""
    if isinstance(value, pydantic.SecretStr):
        return HIDDEN
    if isinstance(value, bool):
        return str(value).lower()
    if type(value) is tuple:
        return ", ".join(map(str, value))
    return str(value)
