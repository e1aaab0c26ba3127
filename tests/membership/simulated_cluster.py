"""A cluster of membership protocols on a simulated network: names for the tests of this folder."""

from dahliabend.simulation.cluster.simulated_cluster import S as SECOND
from dahliabend.simulation.cluster.simulated_cluster import SimulatedCluster

__all__ = ["SECOND", "SimulatedCluster"]
