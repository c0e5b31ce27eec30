"""Setup of the C library's allocator, so that large blocks go back to the system when freed."""

import ctypes

# Parameter of mallopt (malloc.h): blocks of at least this size are mapped one by one.
_M_MMAP_THRESHOLD = -3
# Size from which blocks are mapped: the library's own first value. It raises the value to the
# largest block that was freed, up to 32 MB; bodies and answers then leave holes in the heap that
# take more memory than what is held.
MAPPED_BLOCK_BYTES = 131_072


def return_large_blocks():
    """Makes freed blocks of MAPPED_BLOCK_BYTES and more go back to the system at once.

    Returns:
      True if the allocator can do that.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    return mallopt is not None and bool(mallopt(_M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES))
