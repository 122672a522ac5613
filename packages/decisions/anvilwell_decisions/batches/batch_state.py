"""Tracks the state of each item of one batch and the results listed so far."""

import collections
import enum

from anvilwell_decisions.batches import progress as progresses
from anvilwell_decisions.traffic import facts


class ItemState(enum.Enum):
    """The state of one item of a batch.

    In state ``UNSCORED`` the text is complete but its score is missing. The
    item becomes ``DONE``, and its result may be listed, once it has the score
    too.
    """

    WAITING = "waiting"
    RUNNING = "running"
    UNSCORED = "unscored"
    SCORING = "scoring"
    DONE = "done"
    ABANDONED = "given-up"


_ENDED = frozenset((ItemState.DONE, ItemState.ABANDONED))


class BatchState:
    """The items of one batch, their states and the listed results.

    Results are listed by whole groups: a trainer can't use part of a group,
    and a group costs one write to the store instead of one for each item.

    Parameters
    ----------
    submission : facts.Submission
        The batch.
    max_failures : int
        Failed runs after which an item is abandoned.
    one_version : bool
        Whether all events of a text must come from one model version.
    """

    def __init__(self, submission, max_failures, one_version=False):
        self._one_version = one_version
        # Without its items, so that a listed one keeps no body here.
        self.submission = submission._replace(items=())
        self.listed = []
        self.is_ended = False
        self._max_failures = max_failures
        self.items_by_id = {item.item_id: item for item in submission.items}
        self.progress_by_id = {
            item_id: progresses.Progress(item_id)
            for item_id in self.items_by_id
        }
        self._states_by_id = dict.fromkeys(self.items_by_id, ItemState.WAITING)
        self._members_by_group = collections.defaultdict(list)
        for item in submission.items:
            self._members_by_group[item.group].append(item.item_id)
        self._listed_ids = set()
        self._unlisted_groups = set(self._members_by_group)
        # Size of the bodies that are still needed, in bytes.
        self.body_bytes = sum(map(_body_bytes, submission.items))

    @property
    def total(self):
        """Number of items in the batch."""
        return len(self.items_by_id)

    @property
    def needs_no_runs(self):
        """Whether the batch has ended or all of its groups are listed."""
        return self.is_ended or not self._unlisted_groups

    def state(self, item_id):
        """Return the `ItemState` of an item."""
        return self._states_by_id[item_id]

    def restore(self, listed, saved=()):
        """Restore what an earlier owner of the batch listed and saved."""
        for result in listed:
            self._record_listed(result)
            self._states_by_id[result.item_id] = ItemState.DONE
        for one in saved:
            self._restore_progress(progresses.Progress.from_saved(one))

    def _restore_progress(self, progress):
        """Restore a waiting item's failures, and its text if it is usable.

        A text is usable if its versions are allowed.
        """
        state = self._states_by_id.get(progress.item_id)
        if state is not ItemState.WAITING:
            return
        if not progress.is_usable(
            self.submission.min_version, self._one_version
        ):
            progress.restart()
        self.progress_by_id[progress.item_id] = progress
        if progress.is_abandoned:
            self.abandon(progress.item_id)
        elif progress.is_complete:
            self._states_by_id[progress.item_id] = self._state_of_complete(
                progress
            )

    def _state_of_complete(self, progress):
        """Return the state of an item whose text is complete.

        A score from an earlier batch counts only if it was requested by the
        same scoring call; otherwise it is dropped.
        """
        call = self.items_by_id[progress.item_id].scoring_call
        if call is None:
            return ItemState.DONE
        if progress.score and progress.score.call_id == call.call_id:
            return ItemState.DONE
        progress.score = None
        return ItemState.UNSCORED

    def waiting_ids(self):
        """Return the ids of the items that are ready to run."""
        if self.is_ended:
            return []
        return [
            item_id
            for item_id, state in self._states_by_id.items()
            if state is ItemState.WAITING
        ]

    def mark_running(self, item_id):
        """Record that a run of an item has started."""
        self._states_by_id[item_id] = ItemState.RUNNING

    def mark_stopped(self, item_id):
        """Record that a run ended before the item's text was complete."""
        if self._states_by_id[item_id] is ItemState.RUNNING:
            self._states_by_id[item_id] = ItemState.WAITING

    def mark_text_complete(self, item_id):
        """Record that an item's text is complete; its score may be missing."""
        progress = self.progress_by_id[item_id]
        progress.complete()
        self._states_by_id[item_id] = self._state_of_complete(progress)

    def unscored_ids(self):
        """Return the ids of the items to score, nearly finished groups first.

        A group is listed only once its last item is scored.
        """
        if self.is_ended:
            return []
        found = [
            item_id
            for item_id, state in self._states_by_id.items()
            if state is ItemState.UNSCORED
        ]
        return sorted(found, key=self._unfinished_in_group)

    def _unfinished_in_group(self, item_id):
        """Return how many items in the group of an item are not finished."""
        group = self.items_by_id[item_id].group
        return sum(
            self._states_by_id[member] not in _ENDED
            for member in self._members_by_group[group]
        )

    def mark_scoring(self, item_id):
        """Record that the scoring call of an item has started."""
        self._states_by_id[item_id] = ItemState.SCORING

    def mark_not_scored(self, item_id, failures=0, max_failures=0):
        """Record that the scoring call of an item returned no score.

        ``failures`` counts its attempts that failed in the scorer itself; the
        item is abandoned after ``max_failures`` of these in total. Refused
        calls and lost responses are not counted, since they say nothing about
        the item.
        """
        if self._states_by_id[item_id] is not ItemState.SCORING:
            return
        progress = self.progress_by_id[item_id]
        progress.scoring_failures += failures
        if failures and progress.scoring_failures >= max_failures:
            self.abandon(item_id)
        else:
            self._states_by_id[item_id] = ItemState.UNSCORED

    def mark_scored(self, item_id, seal):
        """Record the seal (proof) of the scorer's response; mark it done."""
        if self._states_by_id[item_id] is not ItemState.SCORING:
            return
        call = self.items_by_id[item_id].scoring_call
        score = progresses.Score(call.call_id, seal)
        self.progress_by_id[item_id].score = score
        self._states_by_id[item_id] = ItemState.DONE

    def count_failure(self, item_id):
        """Count a failed run of an item; abandon the item after too many."""
        progress = self.progress_by_id[item_id]
        progress.failures += 1
        if progress.failures >= self._max_failures:
            self.abandon(item_id)
        else:
            self.mark_stopped(item_id)

    def abandon(self, item_id):
        """Record that an item can't be completed."""
        self._states_by_id[item_id] = ItemState.ABANDONED
        self.progress_by_id[item_id].abandon()

    def abandon_rest(self):
        """Abandon all items that are neither done nor abandoned."""
        for item_id, state in self._states_by_id.items():
            if state not in _ENDED:
                self._states_by_id[item_id] = ItemState.ABANDONED

    def mark_ended(self):
        """Record that the trainer ended the batch."""
        self.is_ended = True
        for item_id in self.items_by_id:
            self._drop_body(item_id)

    def listable_results(self):
        """Return the results of finished groups that are not yet listed."""
        if self.is_ended:
            return []
        return [
            self._result(item_id)
            for group in sorted(self._unlisted_groups)
            if self._is_finished(group)
            for item_id in self._members_by_group[group]
            if item_id not in self._listed_ids
        ]

    @property
    def has_enough_groups(self):
        """Whether as many groups are finished as the trainer waits for."""
        total = len(self._members_by_group)
        finished = sum(map(self._is_finished, self._unlisted_groups))
        listed = total - len(self._unlisted_groups)
        return listed + finished >= (self.submission.wanted_groups or total)

    def mark_listed(self, results):
        """Record that `results` are listed: stored at the next positions."""
        for result in results:
            self._record_listed(result)

    def unlisted_progress(self):
        """Return the `Progress` of each unlisted item that has events."""
        return [
            progress
            for item_id, progress in self.progress_by_id.items()
            if item_id not in self._listed_ids and progress.events
        ]

    def unlisted_failures(self):
        """Return the `SavedProgress` of unlisted items that have failed.

        It has no text.
        """
        saved = [
            progress.save().without_text()
            for item_id, progress in self.progress_by_id.items()
            if item_id not in self._listed_ids
        ]
        return [one for one in saved if one.has_failed]

    def _record_listed(self, result):
        self.listed.append(result)
        self._listed_ids.add(result.item_id)
        self.progress_by_id[result.item_id] = progresses.Progress(
            result.item_id
        )
        self._drop_body(result.item_id)
        group = self.items_by_id[result.item_id].group
        if self._listed_ids.issuperset(self._members_by_group[group]):
            self._unlisted_groups.discard(group)

    def _drop_body(self, item_id):
        """Drop the bodies of an item that is not run or scored again."""
        item = self.items_by_id[item_id]
        self.body_bytes -= _body_bytes(item)
        self.items_by_id[item_id] = item._replace(body=None, scoring_call=None)

    def _is_finished(self, group):
        return all(
            self._states_by_id[item_id] in _ENDED
            for item_id in self._members_by_group[group]
        )

    def _result(self, item_id):
        if self._states_by_id[item_id] is ItemState.DONE:
            return self.progress_by_id[item_id].result()
        return facts.Result(item_id, False)


def _body_bytes(item):
    """Return the size of an item's bodies, in bytes."""
    call = item.scoring_call
    return len(item.body or b"") + (len(call.body) if call else 0)
