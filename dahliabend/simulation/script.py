"""The scenarios of the simulation under one name, as `dahliabend.cli` and the experiments use them."""

from dahliabend.config.operator_file.units import Duration
from dahliabend.simulation.scenario import (
    GROUP_OF,
    Fault,
    LoadSpec,
    Scenario,
    WorldSpec,
    check,
    decode,
    encode,
    read,
)
from dahliabend.simulation.scenario_generator import draw

__all__ = [
    "GROUP_OF",
    "Duration",
    "Fault",
    "LoadSpec",
    "Scenario",
    "WorldSpec",
    "check",
    "decode",
    "draw",
    "encode",
    "read",
]
