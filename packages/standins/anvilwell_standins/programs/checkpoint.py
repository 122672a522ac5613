"""What a trainer keeps, so that it can come back after a crash."""

import json
import pathlib
import typing


class State(typing.NamedTuple):
    """What survives a crash."""

    step: int = 0
    cursor: int = 0
    version: int = 1
    taken: tuple = ()


class Checkpoint:
    """Keeps the state in memory, and in a file if there is a path."""

    def __init__(self, path=""):
        self._path = pathlib.Path(path) if path else None
        self._state = State()
        if self._path and self._path.exists():
            kept = json.loads(self._path.read_text())
            taken = tuple(tuple(one) for one in kept.pop("taken"))
            self._state = State(**kept, taken=taken)

    def load(self):
        """Return the state kept last."""
        return self._state

    def save(self, state):
        """Keep `state`, whole or not at all."""
        if self._path:
            partial = self._path.with_suffix(".partial")
            partial.write_text(json.dumps(state._asdict()))
            partial.replace(self._path)
        self._state = state
