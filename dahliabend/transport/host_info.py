"""What the program takes from its host: clocks, sockets, files, and the directory that processes share.

Everything else calls these by way of the module, so that `dahliabend.simulation` can stand in for them.
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
    return socket.socket(socket.AF_INET, socket.SOCK_STREAM)


def datagram_socket() -> socket.socket:
    return socket.socket(socket.AF_INET, socket.SOCK_DGRAM)


def inherited_socket(number: int) -> socket.socket:
    """OSError where it is none."""
    return socket.socket(fileno=number)


def peer_has_closed(sock: socket.socket) -> bool:
    """Has the peer ended its sending, or all of it, whatever is still unread?"""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def read_file(path: str) -> bytes:
    """OSError where it can't be read."""
    return Path(path).read_bytes()
