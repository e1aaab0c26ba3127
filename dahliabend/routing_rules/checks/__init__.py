"""Checks of a decoded operator's file for contradictions and for settings that can never take effect.

Every check adds its faults to the source, with the place of the key that has to be changed.
"""

from dahliabend.config.operator_file.schema import OperatorFile
from dahliabend.config.operator_file.source import Source
from dahliabend.routing_rules.checks.classes import check_classes
from dahliabend.routing_rules.checks.listeners import check_listeners
from dahliabend.routing_rules.checks.membership import check_membership
from dahliabend.routing_rules.checks.pools import check_pools
from dahliabend.routing_rules.checks.routes import check_routes

__all__ = ["check_file"]


def check_file(file: OperatorFile, source: Source) -> None:
    """Run all checks and add their faults to the source."""
    check_listeners(file, source)
    if file.members is not None:
        check_membership(file.members, source)
    check_classes(file, source)
    check_pools(file, source)
    check_routes(file, source)
