"""State of a request at a balancer instance of the workload model."""

from dataclasses import dataclass, field

from dahliabend.policy.records import RequestState
from dahliabend.simulation.cluster.upstream_model import SimulatedUpstream


@dataclass(slots=True)
class AttemptRecord:
    """One attempt of a request, sent to an upstream."""

    upstream: SimulatedUpstream
    sent_at: int  # microseconds
    is_finished: bool = False


@dataclass(slots=True)
class PendingRequest:
    """A request that a balancer instance has admitted and not finished."""

    arrived_at: int  # microseconds
    class_index: int  # into `REQUEST_CLASSES`
    is_answered: bool = False
    executions: int = 0
    state: RequestState | None = None
    attempts: list[AttemptRecord] = field(default_factory=list)
