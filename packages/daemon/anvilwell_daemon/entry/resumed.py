"""Goes on with a cut text where the caller's part of it ends."""

import xxhash

from anvilwell_daemon.entry import calls
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons


class Delivered:
    """What the caller already has of a generated text.

    Only its size and digest are kept, whatever its length.
    """

    def __init__(self):
        self.size = 0
        self.tokens = 0
        self.digest = xxhash.xxh3_128()

    def add(self, piece):
        """Note that the caller got `piece`."""
        self.size += len(piece.data)
        self.tokens += piece.tokens
        self.digest.update(piece.data)


class Resumed:
    """Drops the beginning that the caller has, and checks it.

    An engine generates the whole text again. The part that the caller
    has must come out the same, or the text can't go on.

    Parameters
    ----------
    delivered : Delivered
        What the caller had when this attempt began.
    """

    def __init__(self, delivered):
        self._bytes_left = delivered.size
        self._tokens_left = delivered.tokens
        self._wanted = delivered.digest.digest()
        self._digest = xxhash.xxh3_128()

    def fresh(self, piece):
        """Return the part of `piece` that is new, or None.

        Raises
        ------
        exceptions.BackendFailed
            If the text differs from what the caller has.
        """
        if not self._bytes_left:
            return piece
        known = piece.data[: self._bytes_left]
        self._digest.update(known)
        self._bytes_left -= len(known)
        tokens = min(piece.tokens, self._tokens_left)
        self._tokens_left -= tokens
        if self._bytes_left:
            return None
        self._check(self._digest.digest() == self._wanted)
        data = piece.data[len(known) :]
        if not data:
            return None
        return calls.Piece(data, piece.tokens - tokens, piece.version)

    def check_end(self):
        """Check that the text reached what the caller has."""
        self._check(not self._bytes_left)

    def _check(self, is_same):
        if not is_same:
            raise exceptions.BackendFailed(
                "another engine's text differs from the part that the"
                " caller has",
                reason=reasons.Refusal.ANSWER_CUT,
            )
