"""Checks the invariants of a simulated run while it runs, from what the peers and the network observe.

The checks share no code with the balancer that they check. The names of the rules are stable, since they
appear in reports and in regression files.
"""

from dahliabend.simulation.attempt_invariants import AttemptInvariants
from dahliabend.simulation.client_invariants import ClientInvariants
from dahliabend.simulation.endpoint_invariants import EndpointInvariants
from dahliabend.simulation.event_loop import Scheduler
from dahliabend.simulation.observed_run import (
    TIME_TOLERANCE,
    ClassTally,
    ObservedRun,
    RequestClassSpec,
    Violation,
)
from dahliabend.simulation.recorder import Recorder

__all__ = ["TIME_TOLERANCE", "ClassTally", "InvariantChecker", "RequestClassSpec", "Violation"]


class InvariantChecker(ObservedRun):
    """Checks the recorder's events, and keeps each violation with the step at which it was detected."""

    def __init__(
        self,
        scheduler: Scheduler,
        recorder: Recorder,
        classes: dict[str, RequestClassSpec],
        drain_time: int,
        order_pause: int = 0,
    ) -> None:
        """Subscribe all invariants to the recorder. The other arguments are those of `ObservedRun`."""
        super().__init__(scheduler, classes, drain_time, order_pause)
        self.clients = ClientInvariants(self, recorder)
        self.endpoints = EndpointInvariants(self, recorder)
        self.attempts = AttemptInvariants(self, recorder, self.endpoints)

    def served_value(self, late_value: float) -> float:
        """Return the earned share of the total value of all requests, 1 if there were none.

        Args:
            late_value: the share of its value that a response after the latency objective earns.
        """
        asked = sum(
            request_class.priority_weight * self.tally[name].asked
            for name, request_class in self.classes.items()
        )
        earned = sum(
            request_class.priority_weight * (self.tally[name].in_time + late_value * self.tally[name].late)
            for name, request_class in self.classes.items()
        )
        return earned / asked if asked else 1.0
