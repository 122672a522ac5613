"""How long a group's samples will be, from what was seen so far."""

import collections

from hdrh import histogram

QUANTILE = 90.0
MAX_TOKENS = 1 << 22
SIGNIFICANT_DIGITS = 2
PROMPTS_KEPT = 16384
REFRESH_EVERY = 64


class Lengths:
    """Predicts lengths in tokens for one run.

    A prompt that was seen before is predicted by the longest of its
    own lengths; any other by a high quantile of all lengths.

    Parameters
    ----------
    prompts_kept : int
        Prompts remembered; the least recently seen is forgotten.
    """

    def __init__(self, prompts_kept=PROMPTS_KEPT):
        self._lengths_by_prompt = collections.OrderedDict()
        self._prompts_kept = prompts_kept
        self._all = histogram.HdrHistogram(1, MAX_TOKENS, SIGNIFICANT_DIGITS)
        self._seen = 0
        self._quantile = 0

    def observe(self, prompt, tokens):
        """Take the length of a finished sample of `prompt`."""
        longest = self._lengths_by_prompt.pop(prompt, 0)
        self._lengths_by_prompt[prompt] = max(longest, tokens)
        if len(self._lengths_by_prompt) > self._prompts_kept:
            self._lengths_by_prompt.popitem(last=False)
        self._all.record_value(min(max(tokens, 1), MAX_TOKENS))
        self._seen += 1
        if self._seen % REFRESH_EVERY == 0 or self._seen == 1:
            self._quantile = self._all.get_value_at_percentile(QUANTILE)

    def predict(self, prompt, max_tokens):
        """Return the predicted length, at most `max_tokens`."""
        own = self._lengths_by_prompt.get(prompt, 0)
        return min(own or self._quantile or max_tokens, max_tokens)
