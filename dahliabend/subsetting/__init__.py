"""Subsetting: which upstreams of a pool each balancer of a large fleet uses. The package does no I/O.

`selection` computes the assignment for the whole fleet from the view of the fleet and the endpoint list, with
`rendezvous` for the choice of pairs, `fitting` for their weights and `zones` for the traffic between zones.
`controller` moves one balancer's subset towards its part of the assignment step by step, with `fleet_view`,
`target`, `flap_damping` and `usable_endpoints`. `demand` estimates the request rate of a balancer, and
`baselines` implements other strategies for comparison.
"""
