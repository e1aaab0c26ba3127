"""Cluster membership by SWIM: which balancers are alive, suspected, dead or have left.

`protocol.MembershipProtocol` is the entry point. It is free of I/O: it takes datagrams and the time and
leaves datagrams, events and the time of its next timer; `udp_transport` moves them. docs/members.md has the
design.
"""
