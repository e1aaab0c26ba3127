"""Operating system services that the program uses: clocks, sockets, files, and the runtime directory.

Code that also runs in simulations calls them only through this module, so that `dahliabend.simulation` can
replace them.
"""

import os
import select
import socket
import time
from pathlib import Path

from dahliabend.transport.runtime_directory import RuntimeDirectory

monotonic_ns = time.monotonic_ns  # monotonic time in nanoseconds
time_ns = time.time_ns  # Unix time in nanoseconds; the clocks of all machines are taken to agree
process_id = os.getpid
runtime_directory = RuntimeDirectory  # called with a path

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_RESIDENT_FIELD = 1  # of /proc/self/statm, in pages


def stream_socket() -> socket.socket:
    """Return a new TCP socket."""
    return socket.socket(socket.AF_INET, socket.SOCK_STREAM)


def datagram_socket() -> socket.socket:
    """Return a new UDP socket."""
    return socket.socket(socket.AF_INET, socket.SOCK_DGRAM)


def inherited_socket(number: int) -> socket.socket:
    """Return the socket of an inherited descriptor.

    Raises:
        OSError: The descriptor is not a socket.
    """
    return socket.socket(fileno=number)


def peer_has_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed its sending side or the whole connection, even with data unread."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def resident_bytes() -> int:
    """Return the resident memory of this process; 0 if the system does not tell."""
    try:
        fields = Path("/proc/self/statm").read_bytes().split()
    except OSError:
        return 0
    return int(fields[_RESIDENT_FIELD]) * _PAGE_BYTES


def read_file(path: str) -> bytes:
    """Return the content of a file.

    Raises:
        OSError: The file cannot be read.
    """
    return Path(path).read_bytes()
