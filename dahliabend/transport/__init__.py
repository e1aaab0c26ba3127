"""Sockets, their rings and the tables that own them. Nothing here knows HTTP."""
