"""The town that these tests play in."""

from dahliabend.emulator.fleets.town import S, Town

__all__ = ["S", "Town"]
