"""Encodes typed messages as CBOR frames and decodes them."""

import cbor2
import pydantic

from anvilwell_kernel import exceptions

MAX_FRAME_BYTES = 4 << 20
_CONFIG = pydantic.ConfigDict(allow_inf_nan=False)


class Codec:
    """Encodes typed messages as CBOR frames and decodes them.

    A message is an array of its kind's name followed by its fields in
    declaration order. A frame holds one message or an array of messages.
    A field that is added later needs a default, so that frames of older
    peers can still be decoded.

    Parameters
    ----------
    kinds : iterable of type
        ``NamedTuple`` classes of the messages; the name of a class is the
        name of its kind.

    Raises
    ------
    exceptions.DuplicateKind
        If two classes have the same name.
    """

    def __init__(self, kinds):
        kinds = list(kinds)
        check_unique_names(kinds)
        self._adapters_by_name = {
            kind.__name__: pydantic.TypeAdapter(kind, config=_CONFIG)
            for kind in kinds
        }

    def encode(self, message):
        """Return the frame of `message`."""
        return cbor2.dumps([type(message).__name__, *message])

    def encode_all(self, messages):
        """Return one frame with all `messages`, in the given order."""
        return cbor2.dumps(
            [[type(message).__name__, *message] for message in messages]
        )

    def decode(self, frame):
        """Return the typed message in `frame`.

        Raises
        ------
        exceptions.MalformedMessage
            If the frame is too large or not CBOR, or if the message is of
            an unknown kind or has a field of the wrong type.
        """
        return self._message(_load(frame))

    def decode_all(self, frame):
        """Return the list of typed messages in `frame`.

        Raises
        ------
        exceptions.MalformedMessage
            If any of the messages is malformed.
        """
        items = _load(frame)
        if not isinstance(items, list):
            raise exceptions.MalformedMessage("frame is not an array")
        return [self._message(item) for item in items]

    def _message(self, item):
        try:
            name, *fields = item
            adapter = self._adapters_by_name[name]
        except (ValueError, TypeError, KeyError) as error:
            raise exceptions.MalformedMessage(
                f"frame is not a known message: {error!r}"
            ) from error
        try:
            return adapter.validate_python(fields)
        except pydantic.ValidationError as error:
            raise exceptions.MalformedMessage(
                f"{name} has wrong fields: {error}"
            ) from error


def check_unique_names(kinds):
    """Raise `exceptions.DuplicateKind` if two classes share a name."""
    kinds_by_name = {}
    for kind in kinds:
        first = kinds_by_name.setdefault(kind.__name__, kind)
        if first is not kind:
            raise exceptions.DuplicateKind(
                f"message {kind.__name__} is declared in {first.__module__} "
                f"and in {kind.__module__}; rename one of them"
            )


def _load(frame):
    if len(frame) > MAX_FRAME_BYTES:
        raise exceptions.MalformedMessage(
            f"frame has {len(frame)} bytes, limit is {MAX_FRAME_BYTES}"
        )
    try:
        return cbor2.loads(frame)
    except (cbor2.CBORError, ValueError, TypeError) as error:
        raise exceptions.MalformedMessage(
            f"frame is not CBOR: {error!r}"
        ) from error
