"""Limits the bytes of request and response bodies that a VM buffers."""

# Share of a VM's memory that buffers may use. The processes and their own
# data need the rest.
MEMORY_SHARE = 0.2
# One page of a batch's results may use at most this share of the free bytes,
# so that pages remain available to other callers that read slowly.
PAGE_SHARE = 0.125
# Budget of a VM whose memory size is unknown.
DEFAULT_BYTES = 32 << 20


class ByteBudget:
    """Counts buffered bytes: request bodies and unread responses.

    When the budget is used up, bodies of requests that have not run are
    refused. Responses that have already been produced are still buffered.

    Parameters
    ----------
    total_bytes : int
        Maximum number of bytes to buffer.
    """

    def __init__(self, total_bytes=DEFAULT_BYTES):
        self.total_bytes = total_bytes
        self.held_bytes = 0

    @classmethod
    def from_memory(cls, memory_mb):
        """Return the budget of a VM with `memory_mb`; 0 means unknown."""
        if not memory_mb:
            return cls()
        return cls(int(MEMORY_SHARE * memory_mb * 1e6))

    @property
    def free_bytes(self):
        """How many more bytes may be buffered."""
        return max(0, self.total_bytes - self.held_bytes)

    def try_hold(self, byte_count):
        """Reserve `byte_count` bytes if they fit; return whether they do."""
        if byte_count > self.free_bytes:
            return False
        self.held_bytes += byte_count
        return True

    def hold(self, byte_count):
        """Count `byte_count` bytes of a response, even over the budget."""
        self.held_bytes += byte_count

    def release(self, byte_count):
        """Give `byte_count` bytes back to the budget."""
        self.held_bytes -= byte_count

    def page_bytes(self, max_bytes):
        """Return the size limit of a page of results, up to `max_bytes`."""
        return min(max_bytes, int(PAGE_SHARE * self.free_bytes))
