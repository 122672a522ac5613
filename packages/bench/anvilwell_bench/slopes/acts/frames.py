"""Frames between entries and agents."""

from anvilwell_bench.slopes import act
from anvilwell_kernel.messages import codec
from anvilwell_kernel.messages import requests

CALLS = 2000
FRAMES = codec.Codec(requests.KINDS)


def _request(body_bytes):
    return requests.RequestStart(
        stream_id=1,
        request_id="0123456789abcdef0123456789abcdef",
        attempt=1,
        service="planner-lm",
        priority="live",
        idempotent=True,
        method="POST",
        path="/v1/completions",
        headers=[("Content-Type", "application/json")],
        body=b"x" * body_bytes,
        deadline_s=30.0,
        task_id="0123456789abcdef0123456789abcdef@/1",
        generation=1,
        credit=16,
    )


class RequestFrameBytes(act.Act):
    """Bytes of the frame that starts a request."""

    name = "link.request.bytes"
    act = "frame that starts a request"
    grows_with = "body bytes"
    unit = "bytes"
    sizes = (0, 512, 2048, 8192)

    def measure(self, size):
        """Return the frame's length in bytes."""
        return len(FRAMES.encode(_request(size)))


class RequestFrameCpu(act.Act):
    """CPU to encode and decode the frame that starts a request."""

    name = "link.request.cpu"
    act = "encode and decode the frame that starts a request"
    grows_with = "body bytes"
    unit = "us"
    sizes = (0, 512, 2048, 8192)

    def measure(self, size):
        """Return CPU microseconds for one frame."""
        message = _request(size)
        return act.cpu_us(lambda: FRAMES.decode(FRAMES.encode(message)), CALLS)


class DataFramesCpu(act.Act):
    """CPU to encode and decode data frames of an answer."""

    name = "link.data.cpu"
    act = "encode and decode data frames of 64 bytes"
    grows_with = "frames"
    unit = "us"
    sizes = (1, 4, 16, 64)

    def measure(self, size):
        """Return CPU microseconds for `size` frames."""
        frames = [
            requests.ResponseData(1, number, b"x" * 64)
            for number in range(size)
        ]

        def relay():
            for frame in frames:
                FRAMES.decode(FRAMES.encode(frame))

        return act.cpu_us(relay, CALLS // size + 1)
