"""The town that these tests play in."""

from dahliabend.simulation.cluster.town import S, Town

__all__ = ["S", "Town"]
