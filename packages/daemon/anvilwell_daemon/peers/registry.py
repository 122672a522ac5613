"""The message kinds of the control links and their handlers."""

from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import codec
from anvilwell_kernel.messages import peers as messages


class Registry:
    """Knows the declared kinds; builds their codec when it is needed."""

    def __init__(self):
        self._kinds = list(messages.KINDS)
        self._handlers_by_kind = {}
        self._codec = None

    @property
    def codec(self):
        """The codec of all declared kinds."""
        if self._codec is None:
            self._codec = codec.Codec(self._kinds)
        return self._codec

    def declare(self, kinds):
        """Let `kinds` (``NamedTuple`` classes) travel on the links.

        Raises
        ------
        exceptions.DuplicateKind
            If another class of one's name is declared; then none is.
        """
        new = [kind for kind in kinds if kind not in self._kinds]
        codec.check_unique_names([*self._kinds, *new])
        self._kinds.extend(new)
        self._codec = None

    def on(self, kind, handler):
        """Serve messages of class `kind` by `handler`."""
        self.declare([kind])
        self._handlers_by_kind[kind] = handler

    def handler(self, kind):
        """Return the handler of `kind`, or one that refuses it."""
        return self._handlers_by_kind.get(kind, _refuse)


async def _refuse(vm_id, message):
    raise exceptions.BadRequest(
        f"no handler here for {type(message).__name__} from {vm_id}"
    )
