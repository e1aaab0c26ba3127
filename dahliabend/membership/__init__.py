"""Cluster membership by SWIM: which balancers are alive, suspected, dead or have left.

`protocol.MembershipProtocol` is the entry point. It does no I/O: its input is datagrams and the current time,
its output is datagrams, events and the time of its next timer. `udp_transport` connects it to a UDP socket
and to the event loop. docs/members.md describes the design.
"""
