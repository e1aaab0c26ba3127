"""The invariants of a run, checked as it goes on, from what the peers and the network saw.

They are written apart from the code that they check. The names of the rules appear in reports and regression
files, so they keep their wording.
"""

from dahliabend.simulation.attempt_invariants import AttemptInvariants
from dahliabend.simulation.client_invariants import ClientInvariants
from dahliabend.simulation.endpoint_invariants import EndpointInvariants
from dahliabend.simulation.event_loop import Scheduler
from dahliabend.simulation.observed_run import (
    ClassTally,
    ObservedRun,
    RequestClassRules,
    Violation,
)
from dahliabend.simulation.recorder import Recorder

__all__ = ["SLACK", "ClassTally", "InvariantChecker", "RequestClassRules", "Violation"]


class InvariantChecker(ObservedRun):
    """Subscribes to the recorder; keeps every violation with the step at which it was seen."""

    def __init__(
        self,
        scheduler: Scheduler,
        recorder: Recorder,
        classes: dict[str, RequestClassRules],
        drain_time: int,
        key_pause: int = 0,
    ) -> None:
        """Begin to check; the arguments are those of `ObservedRun`."""
        super().__init__(scheduler, classes, drain_time, key_pause)
        self.clients = ClientInvariants(self, recorder)
        self.endpoints = EndpointInvariants(self, recorder)
        self.attempts = AttemptInvariants(self, recorder, self.endpoints)

    def served_value(self, late_value: float) -> float:
        """The share of the value of all requests that was earned.

        Args:
            late_value: the share of its value that an answer after the latency objective earns.
        """
        asked = sum(rules.priority_weight * self.tally[name].asked for name, rules in self.classes.items())
        earned = sum(
            rules.priority_weight * (self.tally[name].in_time + late_value * self.tally[name].late)
            for name, rules in self.classes.items()
        )
        return earned / asked if asked else 1.0
