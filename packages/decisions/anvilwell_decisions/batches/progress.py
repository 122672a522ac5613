"""Collects the text of one item over all runs that added to it."""

import typing

from anvilwell_decisions.traffic import facts

FIRST_EVENT_NUMBER = 1


class EventGap(Exception):
    """An event does not follow the previous one, so its run is unusable."""


class Score(typing.NamedTuple):
    """The seal (proof) of a scorer's response, and the id of the call."""

    call_id: str
    seal: str


class SavedProgress(typing.NamedTuple):
    """A `Progress` as it is stored.

    Limits on the failures of an item hold for all owners of its batch
    together, so each owner stores what it has counted.
    """

    item_id: str
    events: tuple
    versions: tuple
    is_complete: bool
    score: Score | None = None
    failures: int = 0
    scoring_failures: int = 0
    is_abandoned: bool = False

    @property
    def has_failed(self):
        """Whether a run or a scoring call of the item has failed."""
        return bool(self.failures or self.scoring_failures) or (
            self.is_abandoned
        )

    def without_failures(self):
        """Return the text alone, for another batch with the same item."""
        return self._replace(
            failures=0, scoring_failures=0, is_abandoned=False
        )

    def without_text(self):
        """Return the failures alone, for an item whose text is not kept."""
        return self._replace(
            events=(), versions=(), is_complete=False, score=None
        )


class Progress:
    """Collects the events of an item's text, in order and each once.

    A resumed run continues the text of the runs before it. ``versions`` holds
    the model version of every event in the text. A ``score`` belongs to this
    text and is dropped with it.
    """

    def __init__(self, item_id):
        self.item_id = item_id
        self.events = []
        self.versions = []
        self.is_complete = False
        self.score = None
        self.failures = 0
        self.scoring_failures = 0
        self.is_abandoned = False
        self.scoring_rounds = 0
        self.scoring_not_before = 0.0

    @classmethod
    def from_saved(cls, saved):
        """Return the progress that was stored as `saved`."""
        progress = cls(saved.item_id)
        progress.events = list(saved.events)
        progress.versions = list(saved.versions)
        progress.is_complete = saved.is_complete
        progress.score = saved.score
        progress.failures = saved.failures
        progress.scoring_failures = saved.scoring_failures
        progress.is_abandoned = saved.is_abandoned
        return progress

    @property
    def last_number(self):
        """Number of the last event received; 0 if there is none."""
        return len(self.events) + FIRST_EVENT_NUMBER - 1

    def add(self, event, version):
        """Add the next `facts.Event`, made by model version `version`.

        Raises
        ------
        EventGap
            If the event is not the next one.
        """
        if event.number != self.last_number + 1:
            raise EventGap(
                f"event {event.number} does not follow event"
                f" {self.last_number}"
            )
        if version not in self.versions:
            self.versions.append(version)
        self.events.append(event.data)

    def complete(self):
        """Record that the item's text is complete."""
        self.is_complete = True

    def is_usable(self, min_version, one_version):
        """Return whether the text's model versions are allowed."""
        is_fresh = all(version >= min_version for version in self.versions)
        return is_fresh and not (one_version and len(self.versions) > 1)

    def restart(self):
        """Drop the item's text; its next run starts from the beginning."""
        self.events = []
        self.versions = []
        self.is_complete = False
        self.score = None

    def abandon(self):
        """Record that the item has no result; its text is not needed."""
        self.restart()
        self.is_abandoned = True

    def save(self):
        """Return the progress in the form that is stored."""
        return SavedProgress(
            self.item_id,
            tuple(self.events),
            tuple(self.versions),
            self.is_complete,
            self.score,
            self.failures,
            self.scoring_failures,
            self.is_abandoned,
        )

    def result(self):
        """Return the `facts.Result` of a complete text."""
        return facts.Result(
            self.item_id,
            True,
            "\n".join(self.events),
            tuple(self.versions),
            self.score.seal if self.score else "",
        )
