"""The cluster that these tests simulate."""

from dahliabend.simulation.cluster.simulated_cluster import S, SimulatedCluster

__all__ = ["S", "SimulatedCluster"]
