"""Lets the C library return the memory of large buffers as soon as they are freed."""

import ctypes

from laburnumpier_core.log import get_part_logger

M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
"""Numbers of the parameters in the interface of `mallopt`."""
LARGE_BUFFER_BYTES = 128 * 1024
"""Size from which a buffer is mapped on its own. It is the initial value of glibc, which would
raise it with the sizes of buffers that are freed; these would then leave holes in the heap."""

_log = get_part_logger("intake")


def return_large_buffers() -> None:
    """Fixes the size from which buffers are mapped on their own; only glibc has such a setting."""
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError) as error:
        _log.info("the allocator has no options", fields={"error": error})
        return
    set_option(M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES)
    set_option(M_TRIM_THRESHOLD, LARGE_BUFFER_BYTES)
