"""Leases of periodic tasks, and the division of shared limits. The package does no I/O.

`lease` defines the types, `fencing` the fencing tokens and `candidate_order` the order in which members may
take a lease; `election` decides which member holds it. `leased_health_checks` uses leases for health checks
that one balancer performs for all. `shared_limits` divides a limit among the balancers.
"""
