"""A cluster of membership protocols on a simulated network, as these tests use it."""

from dahliabend.simulation.cluster.town import S as SECOND
from dahliabend.simulation.cluster.town import Town as SimulatedCluster

__all__ = ["SECOND", "SimulatedCluster"]
