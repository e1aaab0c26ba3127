"""Membership among the balancers: who is there, who is suspected, who has gone. The machine is free of I/O.

A part begun: docs/members.md says what stands and what comes next. Nothing imports it yet.
"""
