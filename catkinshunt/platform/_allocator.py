"""Setting of the C library's allocator."""

import ctypes

#: `M_MMAP_THRESHOLD` of `mallopt`.
_M_MMAP_THRESHOLD = -3
#: Blocks of this size and above are mapped one by one, in bytes.
MMAP_THRESHOLD_BYTES = 128 * 1024


def keep_large_blocks_apart():
    """Let the allocator map large blocks one by one, so that each is freed.

    By default glibc raises the threshold to the largest block that was ever
    freed. Large bodies then lie on the heap among small objects, and neither
    the kernel nor later bodies get the memory of those that have ended.
    """
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    # Other C libraries than glibc have none.
    if mallopt is not None:
        mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
