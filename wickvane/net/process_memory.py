"""The memory of the process: what it holds, and how the C library's allocator keeps it."""

import ctypes
import os
import sys

# Of malloc.h. Buffers from MMAP_THRESHOLD on go back to the system when they are freed; among smaller objects
# their space would stay, and in part could not be used again.
M_MMAP_THRESHOLD, M_ARENA_MAX = -3, -8
MMAP_THRESHOLD = 40 * 1024  # octets; above the sizes of what is received at once
# glibc reads its tunables at the start of a program only.
TUNABLES_VARIABLE = "GLIBC_TUNABLES"
NO_THREAD_CACHES = "glibc.malloc.tcache_count=0"
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")  # octets


def restart_without_thread_caches():
    """Replaces the program by itself, with the same process id, unless it runs without thread caches already.

    The C library keeps freed blocks for each thread: up to 60 KB for each client session. Returns if the
    program runs without them, or if it cannot be replaced."""
    tunables = os.environ.get(TUNABLES_VARIABLE, "")
    if "tcache_count" in tunables:
        return
    environment = os.environ | {TUNABLES_VARIABLE: ":".join(filter(None, (tunables, NO_THREAD_CACHES)))}
    try:
        os.execve(sys.executable, sys.orig_argv, environment)
    except OSError:
        pass


def use_single_arena():
    """Limits malloc to one arena, if the C library supports it.

    Several arenas are for threads that run at the same time. Here only one does, and each arena keeps the
    memory of its peak use, so memory would grow with every new set of threads.
    """
    set_malloc_option(M_ARENA_MAX, 1)


def unmap_large_buffers():
    """Lets malloc return large buffers to the system, if the C library supports it."""
    set_malloc_option(M_MMAP_THRESHOLD, MMAP_THRESHOLD)


def set_malloc_option(option, value):
    """Calls mallopt(), if the C library has it."""
    try:
        ctypes.CDLL(None).mallopt(option, value)
    except (OSError, AttributeError):
        pass  # a C library without mallopt


def resident_size():
    """Returns the resident memory of the process in octets; source: statm of /proc (see proc(5))."""
    with open("/proc/self/statm", "rb") as file:
        return int(file.read().split()[1]) * PAGE_SIZE
