"""What the program takes from its host: clocks, sockets, files, and the directory that processes share.

Everything else calls these by way of the module, so that `dahliabend.simulation` can replace them.
"""

import os
import select
import socket
import time
from pathlib import Path

from dahliabend.transport.runtime_directory import RuntimeDirectory

monotonic_ns = time.monotonic_ns  # monotonic time in nanoseconds
time_ns = time.time_ns  # Unix time in nanoseconds; all machines read one clock
process_id = os.getpid
runtime_directory = RuntimeDirectory  # of a path


def stream_socket() -> socket.socket:
    """A new TCP socket."""
    return socket.socket(socket.AF_INET, socket.SOCK_STREAM)


def datagram_socket() -> socket.socket:
    """A new UDP socket."""
    return socket.socket(socket.AF_INET, socket.SOCK_DGRAM)


def inherited_socket(number: int) -> socket.socket:
    """The socket of an inherited descriptor.

    Raises:
        OSError: The descriptor is not a socket.
    """
    return socket.socket(fileno=number)


def peer_has_closed(sock: socket.socket) -> bool:
    """Whether the peer has closed its sending side or all of the connection, whatever is still unread."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def read_file(path: str) -> bytes:
    """The content of a file.

    Raises:
        OSError: It cannot be read.
    """
    return Path(path).read_bytes()
