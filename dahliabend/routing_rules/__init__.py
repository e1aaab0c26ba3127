"""Routing rules of an operator's file: finds a request's route, class, pool and limits, without I/O.

Choosing an endpoint of the pool, retrying and rejecting by load are decided by `dahliabend.policy.balancer`.
"""
