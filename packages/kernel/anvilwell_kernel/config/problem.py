"""One thing that is wrong in a settings file or document."""

import difflib
import typing


class Problem(typing.NamedTuple):
    """A problem, where it is, and what to do about it.

    ``section`` and ``key`` are "" where the problem has none.
    """

    source: str
    section: str
    key: str
    what: str
    fix: str

    def __str__(self):
        """Return one line for people."""
        parts = [self.source, f"[{self.section}]" if self.section else ""]
        place = " ".join(part for part in [*parts, self.key] if part)
        return f"{place}: {self.what}; {self.fix}"


def nearest_hint(name, known):
    """Return the mend for a `name` that is none of `known`."""
    near = difflib.get_close_matches(name, list(known), n=1)
    if near:
        return f"did you mean {near[0]!r}?"
    if known:
        return f"remove it, or use one of: {', '.join(sorted(known))}"
    return "remove it"
