"""Limits the memory that bodies of requests and responses take on a VM."""

# Share of a VM's memory that bodies may take. The process and its own data
# need the rest.
MEMORY_SHARE = 0.5
# Largest share of the budget that submissions and open batches may take
# together, so that live calls still find room.
BATCH_SHARE = 0.9
# Memory that a request takes, as a multiple of its body: the body as it is
# received, and once more when it is joined, decoded or written.
COPIES = 2
# One page of a batch's results may use at most this share of the free bytes,
# so that pages remain available to other callers that read slowly.
PAGE_SHARE = 0.125
# Budget of a VM whose memory size is unknown.
DEFAULT_BYTES = 80 << 20


class ByteBudget:
    """Counts the bytes that requests, responses and open batches take.

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

    def fits(self, byte_count, share=1.0):
        """Return whether `byte_count` fits while nothing else is held."""
        return byte_count <= share * self.total_bytes

    def try_hold(self, byte_count, share=1.0):
        """Reserve `byte_count` bytes if they fit; return whether they do.

        No bytes always fit, also if more than the budget is held.

        Parameters
        ----------
        byte_count : int
            How many bytes to reserve.
        share : float, optional
            Share of the budget that may be used up afterwards.
        """
        if byte_count and not self.fits(self.held_bytes + byte_count, share):
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


class Hold:
    """Bytes of a budget that one owner holds and gives back in parts.

    Parameters
    ----------
    budget : ByteBudget
        The budget, which is charged even if they don't fit.
    byte_count : int
        How many bytes are held.
    """

    def __init__(self, budget, byte_count):
        self._budget = budget
        self._byte_count = byte_count
        budget.hold(byte_count)

    def shrink_to(self, byte_count):
        """Give back all but `byte_count` bytes, if more are held."""
        released = max(0, self._byte_count - byte_count)
        self._byte_count -= released
        self._budget.release(released)
