"""Requests of clients and their attempts on sockets: what a policy's port does. It decides nothing itself.

A `Dispatcher` finds the pool of a request by an operator's routes. A `Router` serves the requests of one pool
as the policy asks through its `PolicyPort`: by one or more `Attempt`s each, on connections of an `Endpoint`.
"""
