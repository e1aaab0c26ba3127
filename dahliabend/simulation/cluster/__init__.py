"""Clusters of balancers that gossip with each other, on a simulated network.

Scripts describe a cluster and the faults injected into it. The actual history records which instances ran and
which links worked; the invariants check what each instance reported against it. `dahliabend.process_tests`
runs the same scripts with real processes. The search modules explore the interleavings of a few instances
with a limited number of faults, to a given depth.
"""
