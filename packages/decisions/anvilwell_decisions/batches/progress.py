"""The text of one item, over all runs that added to it."""

import typing

from anvilwell_decisions.traffic import facts

FIRST_EVENT_NUMBER = 1


class EventGap(Exception):
    """An event does not follow the last one: the run is unusable."""


class Score(typing.NamedTuple):
    """The seal of the answer to a scoring call, and the call's id."""

    call_id: str
    seal: str


class SavedProgress(typing.NamedTuple):
    """A `Progress` as it is stored."""

    item_id: str
    events: tuple
    versions: tuple
    is_complete: bool
    score: Score | None = None


class Progress:
    """Collects an item's events in order, each once.

    A run that is resumed adds to what runs before it have made;
    ``versions`` names the weights of every event in the text. A ``score``
    is that of this very text, and goes with it.
    """

    def __init__(self, item_id):
        self.item_id = item_id
        self.events = []
        self.versions = []
        self.is_complete = False
        self.score = None
        self.failures = 0
        self.scoring_failures = 0
        self.scoring_rounds = 0
        self.scoring_not_before = 0.0

    @classmethod
    def from_saved(cls, saved):
        """Return the progress that `saved` holds."""
        progress = cls(saved.item_id)
        progress.events = list(saved.events)
        progress.versions = list(saved.versions)
        progress.is_complete = saved.is_complete
        progress.score = saved.score
        return progress

    @property
    def last_number(self):
        """Number of the last event that is known; 0 for none."""
        return len(self.events) + FIRST_EVENT_NUMBER - 1

    def add(self, event, version):
        """Add the next `facts.Event`, made under `version`.

        Raises
        ------
        Gap
            If it is not the next one.
        """
        if event.number != self.last_number + 1:
            raise EventGap(f"{event.number} follows {self.last_number}")
        if version not in self.versions:
            self.versions.append(version)
        self.events.append(event.data)

    def complete(self):
        """Note that the last run ended as whole."""
        self.is_complete = True

    def is_usable(self, min_version, one_version):
        """Return whether the text may be used under these bounds."""
        is_fresh = all(version >= min_version for version in self.versions)
        return is_fresh and not (one_version and len(self.versions) > 1)

    def restart(self):
        """Forget the text; the item runs from its beginning."""
        self.events = []
        self.versions = []
        self.is_complete = False
        self.score = None

    def save(self):
        """Return what is stored of it."""
        return SavedProgress(
            self.item_id,
            tuple(self.events),
            tuple(self.versions),
            self.is_complete,
            self.score,
        )

    def result(self):
        """Return the `facts.Result` of a whole text."""
        return facts.Result(
            self.item_id,
            True,
            "\n".join(self.events),
            tuple(self.versions),
            self.score.seal if self.score else "",
        )
