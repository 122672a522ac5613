"""Bytes that a VM may hold for others, and what is refused beyond."""

# Programs and what they know take the rest of a VM's memory.
MEMORY_SHARE = 0.2
# A page takes this part of what is left at most, so that another caller
# who reads as slowly still gets one.
PAGE_SHARE = 0.125
# What is held where the VM's memory is not told.
DEFAULT_BYTES = 32 << 20


class ByteBudget:
    """Counts what is held: bodies that came, answers that are not read.

    A budget that is used up refuses what has not run; answers that are
    there already are held all the same.

    Parameters
    ----------
    total : int
        Bytes that may be held.
    """

    def __init__(self, total_bytes=DEFAULT_BYTES):
        self.total_bytes = total_bytes
        self.held_bytes = 0

    @classmethod
    def from_memory(cls, memory_mb):
        """Return the budget of a VM with so much memory, 0 if unknown."""
        if not memory_mb:
            return cls()
        return cls(int(MEMORY_SHARE * memory_mb * 1e6))

    @property
    def free_bytes(self):
        """How many bytes more may be held."""
        return max(0, self.total_bytes - self.held_bytes)

    def try_hold(self, byte_count):
        """Hold `count` bytes if they fit; return whether they do."""
        if byte_count > self.free_bytes:
            return False
        self.held_bytes += byte_count
        return True

    def hold(self, byte_count):
        """Hold `count` bytes of an answer that is there already."""
        self.held_bytes += byte_count

    def release(self, byte_count):
        """Hold `count` bytes no more."""
        self.held_bytes -= byte_count

    def page_bytes(self, max_bytes):
        """Return how many bytes a page may have that could have `most`."""
        return min(max_bytes, int(PAGE_SHARE * self.free_bytes))
