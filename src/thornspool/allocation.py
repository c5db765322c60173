"""Settings of the memory allocator of the C library."""

from __future__ import annotations

import ctypes
import gc
import pathlib
import resource
import typing

MAPPED_BLOCK_BYTES = 131_072
"""Size from which a block of memory has pages of its own."""

STATISTICS_PATH = pathlib.Path('/proc/self/statm')

_M_MMAP_THRESHOLD = -3


def map_large_blocks() -> bool:
    """Return the pages of large blocks to the system when they are freed.

    glibc raises its threshold when it frees a large block. Bodies of requests
    would then lie among small blocks, which keep their pages in use.

    Returns
    -------
    bool
        Whether the C library has this setting.
    """
    set_option = _find_function('mallopt')
    if set_option is None:
        return False
    return bool(set_option(_M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES))


def release_free_pages() -> None:
    """Return pages of small blocks that are free, if the C library can."""
    trim = _find_function('malloc_trim')
    if trim is not None:
        trim(0)


def read_resident_bytes() -> int:
    """Return the resident memory of the process; 0 for unknown."""
    try:
        fields = STATISTICS_PATH.read_bytes().split()
        return int(fields[1]) * resource.getpagesize()
    except (OSError, IndexError, ValueError):
        return 0


def collect_garbage() -> None:
    """Free objects in reference cycles, and return their pages."""
    gc.collect()
    release_free_pages()


def exempt_start_objects() -> None:
    """Exclude the objects of the start from collections of cycles.

    They last as long as the process. Without them a collection takes a
    fraction of the time, and objects of connections that have closed are
    collected earlier.
    """
    gc.freeze()


def _find_function(name: str) -> typing.Any:
    """Return a function of the C library; None if it has none."""
    try:
        return getattr(ctypes.CDLL(None), name)
    except (AttributeError, OSError):
        return None
