"""Parses INI text by a schema and reports all problems at once."""

import configparser
import functools
import inspect
import pathlib
import typing

import pydantic

from anvilwell_kernel.config import options
from anvilwell_kernel.config import problem as problems
from anvilwell_kernel import exceptions

MAX_TEXT_BYTES = 256 << 10
DELIMITERS = ("=",)
COMMENT_PREFIXES = ("#", ";")
_MAX_SHOWN_CHARS = 60
_NO_DEFAULT_SECTION = "\0"


class SectionSpec(typing.NamedTuple):
    """A section of a schema.

    ``kind`` is the type of the section without ``None``. ``adapter``
    validates its options; it is kept because it takes milliseconds to
    build.
    """

    name: str
    kind: type
    is_optional: bool
    hints_by_key: dict
    adapter: pydantic.TypeAdapter

    @property
    def accepts_any_key(self):
        """Whether the section, of a ``dict`` type, accepts any key."""
        return not self.hints_by_key


def load(path, schema, checks=()):
    """Return the typed settings in the file at `path`.

    The other parameters and the exception are those of `loads`. A file
    that can't be read is reported as a problem.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        unread = problems.Problem(
            str(path),
            "",
            "",
            f"can't be read: {error}",
            "give a readable UTF-8 file",
        )
        raise exceptions.ConfigurationError([unread]) from error
    return loads(text, schema, str(path), checks)


def loads(text, schema, source, checks=()):
    """Return the typed settings in `text`.

    Parameters
    ----------
    text : str
        INI text; ``;`` starts a comment, and keys are case-sensitive.
    schema : type
        ``NamedTuple`` whose fields are the sections. The type of a section
        is a ``NamedTuple`` with typed options, or a ``dict`` for any keys.
    source : str
        Origin of the text, such as its path; each problem starts with it.
    checks : iterable of callable
        Each takes ``sections_by_name``, which holds only the valid sections,
        and yields a `problem.Problem` for each contradiction.

    Raises
    ------
    exceptions.ConfigurationError
        With every problem found.
    """
    specs_by_name = describe(schema)
    raw, found = _parse(text)
    found += _unknown_sections(raw, specs_by_name)
    sections_by_name = {}
    for spec in specs_by_name.values():
        _read_section(spec, raw, sections_by_name, found)
    for check in checks:
        found += check(sections_by_name)
    if found:
        raise exceptions.ConfigurationError(
            one._replace(source=source) for one in found
        )
    return schema(**sections_by_name)


@functools.cache
def describe(schema):
    """Return the `SectionSpec` of each section of `schema`, by name."""
    hints = typing.get_type_hints(schema, include_extras=True)
    return {
        name: _describe_section(name, hint) for name, hint in hints.items()
    }


def _describe_section(name, hint):
    parts = [part for part in typing.get_args(hint) if part is not type(None)]
    is_optional = type(None) in typing.get_args(hint)
    kind = parts[0] if is_optional else hint
    is_closed = inspect.isclass(kind) and hasattr(kind, "_fields")
    hints = (
        typing.get_type_hints(kind, include_extras=True) if is_closed else {}
    )
    adapter = pydantic.TypeAdapter(kind)
    return SectionSpec(name, kind, is_optional, hints, adapter)


def _parse(text):
    if len(text.encode()) > MAX_TEXT_BYTES:
        description = f"text is longer than {MAX_TEXT_BYTES} bytes"
        return {}, [problems.Problem("", "", "", description, "shorten it")]
    # The strict parser stops at the first duplicate. The lax one ignores
    # duplicates, so it finds the syntax errors after it.
    _, strict_problems = _read(text, strict=True)
    raw, lax_problems = _read(text, strict=False)
    return raw, list(dict.fromkeys(strict_problems + lax_problems))


def _read(text, strict):
    parser = configparser.ConfigParser(
        strict=strict,
        interpolation=None,
        delimiters=DELIMITERS,
        comment_prefixes=COMMENT_PREFIXES,
        inline_comment_prefixes=(";",),
        default_section=_NO_DEFAULT_SECTION,
        empty_lines_in_values=False,
    )
    parser.optionxform = str
    found = []
    try:
        parser.read_string(text)
    except configparser.Error as error:
        found = _syntax_problems(error)
    return {name: dict(parser[name]) for name in parser.sections()}, found


def _syntax_problems(error):
    # The line itself is not quoted, because it may contain a secret.
    if isinstance(error, configparser.DuplicateOptionError):
        description = f"line {error.lineno}: key is given twice"
        return [_syntax(description, "keep one", error.section, error.option)]
    if isinstance(error, configparser.DuplicateSectionError):
        description = f"line {error.lineno}: section is given twice"
        return [_syntax(description, "merge the two", error.section)]
    if isinstance(error, configparser.MissingSectionHeaderError):
        description = f"line {error.lineno}: appears before any section"
        return [_syntax(description, "start with a [section] line")]
    numbers = [number for number, _ in getattr(error, "errors", [])]
    return [
        _syntax(f"line {number}: is not 'key = value'", "correct the line")
        for number in numbers or [1]
    ]


def _syntax(description, fix, section="", key=""):
    return problems.Problem("", section, key, description, fix)


def _unknown_sections(raw, specs_by_name):
    return [
        problems.Problem(
            "",
            name,
            "",
            "unknown section",
            problems.nearest_hint(name, specs_by_name),
        )
        for name in raw
        if name not in specs_by_name
    ]


def _read_section(spec, raw, sections_by_name, found):
    if spec.is_optional and spec.name not in raw:
        sections_by_name[spec.name] = None
        return
    values = raw.get(spec.name, {})
    try:
        section = spec.adapter.validate_python(values)
    except pydantic.ValidationError as error:
        details = error.errors(include_url=False, include_input=False)
        found += [_value_problem(spec, values, one) for one in details]
    else:
        sections_by_name[spec.name] = section


def _value_problem(spec, values, detail):
    key = str(detail["loc"][0])
    if detail["type"] == "missing":
        fix = f"add {key} = ... ({fix_of(spec.hints_by_key[key])})"
        description = "missing"
        return problems.Problem("", spec.name, key, description, fix)
    if not spec.accepts_any_key and key not in spec.hints_by_key:
        fix = problems.nearest_hint(key, spec.hints_by_key)
        return problems.Problem("", spec.name, key, "unknown key", fix)
    hint = _option_hint(spec, detail["loc"])
    shown = (
        "value" if is_secret(hint) else repr(values[key][:_MAX_SHOWN_CHARS])
    )
    description = f"{shown} is wrong: {detail['msg']}"
    fix = fix_of(hint) or "correct the value"
    return problems.Problem("", spec.name, key, description, fix)


def _option_hint(spec, location):
    if not spec.accepts_any_key:
        return spec.hints_by_key[location[0]]
    key_hint, value_hint = typing.get_args(spec.kind)
    return key_hint if "[key]" in location else value_hint


def fix_of_value(spec):
    """Return the fix for a wrong value in a section with any keys."""
    return fix_of(typing.get_args(spec.kind)[1])


def is_secret(hint):
    """Return whether the value of an option of type `hint` is secret."""
    return any(part is pydantic.SecretStr for part in type_parts(hint))


def fix_of(hint):
    """Return the suggested fix for a wrong value of type `hint`, or "".

    It is the text of the first `options.Fix` in `hint`, or otherwise the
    list of its literal values.
    """
    texts = (
        part.text for part in type_parts(hint) if isinstance(part, options.Fix)
    )
    return next(texts, "") or _choices_fix(hint)


def _choices_fix(hint):
    names = [part for part in type_parts(hint) if isinstance(part, str)]
    return f"give one of: {', '.join(names)}" if names else ""


def type_parts(hint):
    """Yield `hint`, its annotations and its type arguments, recursively."""
    yield hint
    metadata = getattr(hint, "__metadata__", ())
    yield from metadata
    inner = (hint.__origin__,) if metadata else typing.get_args(hint)
    for part in inner:
        yield from type_parts(part)
