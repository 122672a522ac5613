"""An error in a settings file or service document."""

import difflib
import typing


class Problem(typing.NamedTuple):
    """An error in a settings file or document, with a suggested fix.

    ``source``, ``section`` and ``key`` say where it is; ``section`` and
    ``key`` are "" if it is not in any. ``description`` says what is wrong.
    """

    source: str
    section: str
    key: str
    description: str
    fix: str

    def __str__(self):
        """Return the problem as one line of readable text."""
        parts = [self.source, f"[{self.section}]" if self.section else ""]
        place = " ".join(part for part in [*parts, self.key] if part)
        return f"{place}: {self.description}; {self.fix}"


def nearest_hint(name, known):
    """Return the suggested fix for a `name` that is not in `known`."""
    near = difflib.get_close_matches(name, list(known), n=1)
    if near:
        return f"did you mean {near[0]!r}?"
    if known:
        return f"remove it, or use one of: {', '.join(sorted(known))}"
    return "remove it"
