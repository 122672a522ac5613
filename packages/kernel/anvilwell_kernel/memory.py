"""Makes the allocator return large freed blocks to the operating system."""

import ctypes

# Blocks of at least this size are mapped by themselves and unmapped once they
# are freed, in bytes.
LARGE_BLOCK_BYTES = 128 << 10
# The parameter of ``mallopt`` that sets this size, from <malloc.h>.
_M_MMAP_THRESHOLD = -3


def return_large_blocks():
    """Return each large block to the operating system once it is freed.

    By default glibc raises the size from which it maps blocks whenever one is
    freed, up to 32 MB. Blocks below it stay in the heap: a process that has
    handled one large body would keep its memory.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    # Other C libraries have no such parameter.
    if mallopt is not None:
        mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
