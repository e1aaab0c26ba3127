"""Leases of periodic tasks and shares of fleet-wide limits. Free of I/O.

`lease` has the types, `fencing` the tokens, `candidate_order` the order in which members come to a task, and
`election` decides who holds a lease. `leased_health_checks` uses it for health checks that one instance does
for all. `shared_limits` divides a limit among the instances.
"""
