"""Forwarding of client requests to upstreams. Load-balancing decisions are made in `dahliabend.policy`.

A `Dispatcher` finds the pool of a request by the routes in an operator's file. A `Router` serves the requests
of one pool as its policy decides: the policy calls its `PolicyPort`, and the router sends one or more
`Attempt`s per request, each on a connection of an `Endpoint`.
"""
