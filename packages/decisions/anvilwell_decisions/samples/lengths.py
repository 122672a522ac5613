"""Predicts the lengths of a group's samples from earlier ones."""

import collections

from hdrh import histogram

HIGH_PERCENTILE = 90.0
MIDDLE_PERCENTILE = 50.0
# Prediction for a running stream, as a multiple of its current length.
GROWTH_FACTOR = 1.5
# Longest length in tokens that the histogram of lengths distinguishes.
MAX_TOKENS = 1 << 22
SIGNIFICANT_DIGITS = 2
PROMPTS_KEPT = 16384
# Samples between two computations of the percentiles.
REFRESH_EVERY = 64


class LengthPredictor:
    """Predicts the lengths of one run's samples, in tokens.

    The prediction for a known prompt is the longest length seen for it. A
    running stream that exceeds the prediction raises it to 1.5 times the
    stream's current length, because in a heavy-tailed distribution the
    expected rest grows with the length so far. The prediction for a new
    prompt is a percentile of all lengths: a high one until its first sample
    has started, then the median.

    Parameters
    ----------
    prompts_kept : int
        How many prompts to remember; the least recently updated one is
        forgotten first.
    """

    def __init__(self, prompts_kept=PROMPTS_KEPT):
        self._lengths_by_prompt = collections.OrderedDict()
        self._prompts_kept = prompts_kept
        self._all = histogram.HdrHistogram(1, MAX_TOKENS, SIGNIFICANT_DIGITS)
        self._seen = 0
        self._high = 0
        self._middle = 0

    def observe(self, prompt, tokens):
        """Record the length of a finished sample of `prompt`."""
        self._raise(prompt, tokens)
        self._all.record_value(min(max(tokens, 1), MAX_TOKENS))
        self._seen += 1
        if self._seen % REFRESH_EVERY == 0 or self._seen == 1:
            self._refresh()

    def progress(self, prompt, tokens, max_tokens):
        """Record the current length of a running sample of `prompt`.

        Returns
        -------
        bool
            Whether the prediction was raised.
        """
        if tokens <= self.predict(prompt, max_tokens, scouted=True):
            return False
        self._raise(prompt, min(int(tokens * GROWTH_FACTOR), max_tokens))
        return True

    def predict(self, prompt, max_tokens, *, scouted=False):
        """Return the predicted length, at most `max_tokens`."""
        known = self._lengths_by_prompt.get(prompt, 0)
        guess = self._middle if scouted else self._high
        return min(known or guess or max_tokens, max_tokens)

    def is_known(self, prompt):
        """Return whether a length of `prompt` was recorded."""
        return prompt in self._lengths_by_prompt

    def _raise(self, prompt, tokens):
        longest = self._lengths_by_prompt.pop(prompt, 0)
        self._lengths_by_prompt[prompt] = max(longest, tokens)
        if len(self._lengths_by_prompt) > self._prompts_kept:
            self._lengths_by_prompt.popitem(last=False)

    def _refresh(self):
        self._high = self._all.get_value_at_percentile(HIGH_PERCENTILE)
        self._middle = self._all.get_value_at_percentile(MIDDLE_PERCENTILE)
