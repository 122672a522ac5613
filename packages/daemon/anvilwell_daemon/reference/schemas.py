"""Tables of the options of a declared schema."""

import typing_extensions

from anvilwell_daemon.reference import markdown
from anvilwell_kernel.config import loader
from anvilwell_kernel.config import writer

_HEADS = ("key", "meaning", "value", "default")
_REQUIRED = "required"


def lines(schema):
    """Return the lines of all tables of `schema`, a section each."""
    found = []
    for spec in loader.describe(schema).values():
        found += ["", f"### `[{spec.name}]`", "", *_section(spec)]
    return found[1:]


def _section(spec):
    if spec.accepts_any_key:
        return [f"Any key; for each {loader.fix_of_value(spec)}."]
    rows = [_option(spec, key) for key in spec.hints_by_key]
    return markdown.table(_HEADS, rows)


def _option(spec, key):
    hint = spec.hints_by_key[key]
    docs = [
        part.documentation
        for part in loader.type_parts(hint)
        if isinstance(part, typing_extensions.Doc)
    ]
    return (
        f"`{key}`",
        " ".join(docs),
        loader.fix_of(hint),
        _default(spec, key),
    )


def _default(spec, key):
    defaults_by_key = spec.kind._field_defaults
    if key not in defaults_by_key:
        return _REQUIRED
    text = writer.render_value(defaults_by_key[key])
    return "none" if text in ("None", "") else f"`{text}`"
