"""Which upstreams of a pool each of many balancers uses. Free of I/O.

`selection` computes the whole assignment from the view of the fleet and the endpoint list, with `rendezvous`
for the pairs, `fitting` for the weights and `zones` for what crosses zones. `controller` moves one balancer's
subset there step by step, with `fleet_view`, `target`, `flap_damping` and `usable_endpoints`. `demand`
estimates what a balancer is asked, and `baselines` has other strategies to compare with.
"""
