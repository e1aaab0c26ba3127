"""What balancers tell each other of upstreams, and what that is worth. Free of I/O.

`seen` counts what this one saw, `board` keeps the latest of each origin, `belief` weighs it, `gossip` is the
machine that a socket or a model drives.
"""
