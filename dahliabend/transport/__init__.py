"""Sockets with their buffers, and the tables and timers that own them. Nothing here knows HTTP."""
