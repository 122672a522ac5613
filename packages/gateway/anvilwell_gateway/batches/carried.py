"""Texts of items whose batch ended before their group was whole."""

import collections

# Texts of about five steps of one trainer; a twentieth of the smallest
# entry VM's memory (150 MB).
MAX_CHARS = 8 << 20


class Carried:
    """Keeps the latest unfinished texts by item, up to a bound."""

    def __init__(self, max_chars=MAX_CHARS):
        self._max_chars = max_chars
        self._chars = 0
        self._progress_by_item = collections.OrderedDict()

    def keep(self, progress):
        """Keep a `Progress`; the oldest ones make room."""
        self.take(progress.item_id)
        self._progress_by_item[progress.item_id] = progress
        self._chars += progress.size
        while self._chars > self._max_chars:
            _, oldest = self._progress_by_item.popitem(last=False)
            self._chars -= oldest.size

    def take(self, item_id):
        """Return and forget what is kept of an item, or None."""
        progress = self._progress_by_item.pop(item_id, None)
        if progress is not None:
            self._chars -= progress.size
        return progress
