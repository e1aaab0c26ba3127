"""Sockets and their buffers, the budget of file descriptors, and timers. Nothing here knows HTTP."""
