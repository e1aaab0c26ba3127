"""Operating system services that the program uses: clocks, sockets, files, and the runtime directory.

Code that also runs in simulations calls them only through this module, so that `dahliabend.simulation` can
replace them.
"""

import fcntl
import os
import select
import socket
import struct
import termios
import time
from pathlib import Path

from dahliabend.transport.runtime_directory import RuntimeDirectory

monotonic_ns = time.monotonic_ns  # monotonic time in nanoseconds
time_ns = time.time_ns  # Unix time in nanoseconds; the clocks of all machines are taken to agree
process_id = os.getpid
runtime_directory = RuntimeDirectory  # called with a path

_LAST_DATA = struct.Struct("I")  # tcpi_last_data_recv, in milliseconds
_LAST_DATA_OFFSET = 52  # in struct tcp_info
_BYTE_COUNT = struct.Struct("i")  # argument of the TIOCOUTQ ioctl
_MICROSECONDS_PER_MILLISECOND = 1_000
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


def time_since_data(sock: socket.socket) -> int:
    """Return how long ago (us) a TCP socket last received data, or its connection; 0 if it is not known."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA_OFFSET + _LAST_DATA.size)
    except OSError:
        return 0
    if len(info) < _LAST_DATA_OFFSET + _LAST_DATA.size:
        return 0
    return int(_LAST_DATA.unpack_from(info, _LAST_DATA_OFFSET)[0]) * _MICROSECONDS_PER_MILLISECOND


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many written bytes the peer's system has not acknowledged yet; 0 if it is not known."""
    try:
        count = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_BYTE_COUNT.size))
    except (OSError, ValueError):  # the socket may have been closed
        return 0
    return int(_BYTE_COUNT.unpack(count)[0])


def resident_bytes() -> int:
    """Return the resident memory of this process; 0 if the system does not tell."""
    try:
        fields = Path("/proc/self/statm").read_bytes().split()
    except OSError:
        return 0
    return int(fields[_RESIDENT_FIELD]) * _PAGE_BYTES


def peer_has_reset(sock: socket.socket) -> bool:
    """Return whether the peer has reset the connection, as it does if it closes with data unread."""
    poll = select.poll()
    poll.register(sock, 0)  # errors and a complete end are always reported
    return any(events & select.POLLERR for _, events in poll.poll(0))


def read_file(path: str) -> bytes:
    """Return the content of a file.

    Raises:
        OSError: The file cannot be read.
    """
    return Path(path).read_bytes()
