"""Which upstreams each of many balancers uses, so that the choices of all add up. Free of I/O.

Begun: docs/subsets.md says what stands. Nothing imports it yet.
"""
