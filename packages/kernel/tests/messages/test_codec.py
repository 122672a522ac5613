"""Messages survive encoding and decoding; malformed frames are rejected."""

import typing

import cbor2
import hypothesis
from hypothesis import strategies as st
import pytest

from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import codec as codecs
from anvilwell_kernel.messages import requests

TEXTS = st.text(max_size=20)
NUMBERS = st.integers(0, 2**62)
START_MESSAGES = st.builds(
    requests.RequestStart,
    stream_id=NUMBERS,
    request_id=TEXTS,
    attempt=NUMBERS,
    service=TEXTS,
    priority=TEXTS,
    idempotent=st.booleans(),
    method=TEXTS,
    path=TEXTS,
    headers=st.lists(st.tuples(TEXTS, TEXTS), max_size=3),
    body=st.binary(max_size=200),
    deadline_s=st.floats(0, 1e6),
    task_id=TEXTS,
    generation=NUMBERS,
    credit=NUMBERS,
    key=TEXTS,
    version=TEXTS,
    flush_s=st.floats(0, 10),
)
DATA_MESSAGES = st.builds(
    requests.ResponseData,
    stream_id=NUMBERS,
    sequence=NUMBERS,
    data=st.binary(max_size=200),
)
ERROR_MESSAGES = st.builds(
    requests.ResponseError,
    stream_id=NUMBERS,
    request_id=TEXTS,
    attempt=NUMBERS,
    verdict=TEXTS,
    reason=TEXTS,
    message=TEXTS,
    retry_after_s=st.none() | st.floats(0, 1e6),
    status=st.integers(100, 599),
)
MESSAGES = START_MESSAGES | DATA_MESSAGES | ERROR_MESSAGES
JSON_LIKE_VALUES = st.recursive(
    st.none() | st.booleans() | NUMBERS | TEXTS | st.binary(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(TEXTS, inner, max_size=3)
    ),
    max_leaves=12,
)
CODEC = codecs.Codec(requests.KINDS)

pytestmark = pytest.mark.fuzz


@hypothesis.given(MESSAGES)
def test_message_survives_encoding_and_decoding(message):
    assert CODEC.decode(CODEC.encode(message)) == message


@hypothesis.given(START_MESSAGES, st.sampled_from(["nan", "inf", "-inf"]))
def test_non_finite_number_is_refused(start, text):
    frame = CODEC.encode(start._replace(deadline_s=float(text)))

    with pytest.raises(exceptions.MalformedMessage, match="finite number"):
        CODEC.decode(frame)


@hypothesis.given(st.lists(MESSAGES, max_size=4))
def test_messages_of_a_frame_keep_their_order(messages):
    assert CODEC.decode_all(CODEC.encode_all(messages)) == messages


def check_decodes_or_raises_malformed(frame):
    """Check that decoding raises no error other than `MalformedMessage`."""
    for decode in (CODEC.decode, CODEC.decode_all):
        try:
            decode(frame)
        except exceptions.MalformedMessage as error:
            assert error.message


@hypothesis.given(st.binary(max_size=300))
def test_random_bytes(frame):
    check_decodes_or_raises_malformed(frame)


@hypothesis.given(MESSAGES, st.integers(0, 400), st.integers(0, 255))
def test_damaged_frame(message, position, value):
    frame = bytearray(CODEC.encode(message))
    frame[position % len(frame)] = value

    check_decodes_or_raises_malformed(bytes(frame))


@hypothesis.given(MESSAGES, st.integers(0, 400))
def test_truncated_frame_is_refused(message, length):
    frame = CODEC.encode(message)
    cut = frame[: length % len(frame)]

    with pytest.raises(exceptions.MalformedMessage):
        CODEC.decode(cut)


@hypothesis.given(JSON_LIKE_VALUES)
def test_other_data(data):
    check_decodes_or_raises_malformed(cbor2.dumps(data))


@pytest.mark.parametrize(
    "frame",
    [
        b"",
        b"\x81" * 100_000,
        b"\x9f" * 5_000,
        b"\xd8\x1c" * 5_000,
        b"\x9b" + b"\xff" * 8,
        b"\xbb" + b"\x7f" + b"\xff" * 7,
        cbor2.dumps(["Unknown", 1]),
        cbor2.dumps([["RequestStart"], 1]),
        cbor2.dumps(["Credit", "x", 1]),
        cbor2.dumps(["Credit", 1]),
        cbor2.dumps(["Credit", 1, 2, 3]),
        cbor2.dumps({"Credit": 1}),
        bytes(codecs.MAX_FRAME_BYTES + 1),
    ],
)
def test_malformed_frame_is_refused(frame):
    with pytest.raises(exceptions.MalformedMessage):
        CODEC.decode(frame)


def make_kind(module):
    class Ping(typing.NamedTuple):
        number: int

    Ping.__module__ = module
    return Ping


def test_two_kinds_with_the_same_name_are_refused():
    first, second = make_kind("leases"), make_kind("rollout")
    codecs.Codec([first, first])
    with pytest.raises(exceptions.DuplicateKind) as caught:
        codecs.Codec([first, second])
    assert caught.value.message == (
        "message Ping is declared in leases and in rollout; rename one of them"
    )


def test_frame_of_an_older_peer_may_lack_a_new_field():
    class Old(typing.NamedTuple):
        stream_id: int

    class Credit(typing.NamedTuple):
        stream_id: int
        frames: int = 7

    Old.__name__ = "Credit"
    frame = codecs.Codec([Old]).encode(Old(3))

    assert codecs.Codec([Credit]).decode(frame) == Credit(3, 7)
