"""From a request's head to its route, class, pool and limits. Decisions of their own, free of I/O.

Which upstream of the pool, whether to retry, what to reject: that stays with `dahliabend.policy.balancer`.
"""
