"""What the program takes from its host: clocks, sockets, files, and the directory that processes share.

Everything else calls these by way of the module, so that `dahliabend.simulation` can stand in for them.
"""

import os
import select
import socket
from pathlib import Path
from time import monotonic_ns, time_ns

from dahliabend.transport.runtime_directory import Folder

ticks = monotonic_ns  # monotonic time in nanoseconds
wall = time_ns  # Unix time in nanoseconds; all machines read one clock
process_id = os.getpid
folder = Folder  # of a path


def stream_socket() -> socket.socket:
    return socket.socket(socket.AF_INET, socket.SOCK_STREAM)


def datagram_socket() -> socket.socket:
    return socket.socket(socket.AF_INET, socket.SOCK_DGRAM)


def inherited_socket(number: int) -> socket.socket:
    """OSError where it is none."""
    return socket.socket(fileno=number)


def hung_up(sock: socket.socket) -> bool:
    """Has the peer ended its sending, or all of it, whatever is still unread?"""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def read_file(path: str) -> bytes:
    """OSError where it can't be read."""
    return Path(path).read_bytes()
