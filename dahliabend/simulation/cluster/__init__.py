"""Clusters of balancers that gossip with each other, on a simulated network.

Scripts describe a cluster and the faults injected into it; a ground truth records what really happened; the
invariants hold what each instance reported against it. `dahliabend.process_tests` runs the same scripts with
real processes. The search modules explore all interleavings of three instances to a given depth.
"""
