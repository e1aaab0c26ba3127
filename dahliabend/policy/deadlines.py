"""Deadlines, timeouts and Retry-After: how much time a request has left, and until when a response is useful.

Times are in microseconds.
"""

from dahliabend.model import PolicySettings, RequestClass
from dahliabend.policy.moving_average import ewma
from dahliabend.policy.records import Attempt, RequestState
from dahliabend.policy.retries import Retries, is_retryable
from dahliabend.policy.throttling import Throttling

EARLY_TIMEOUT_LATENCIES = 8  # mean latencies, for an attempt that may be retried
EARLY_TIMEOUTS_PER_LATENCY_OBJECTIVE = 2  # it gets at least the objective divided by this
RETRY_AFTERS_PER_LATENCY_OBJECTIVE = 4  # Retry-After is at least the objective divided by this
MIN_TIMEOUT = 1


def time_left(request: RequestState, now: int) -> int:
    """Return the time from `now` to the deadline of a request; 0 or less once the deadline has passed."""
    return request.deadline - now


class Deadlines:
    """The mean latency of each class, and the time limits of requests that depend on it.

    Attributes:
        mean_latencies: By request class, of successful attempts; 0: none yet.
        tick: Interval of the balancer's timer.
    """

    def __init__(self, settings: PolicySettings, tick: int, retries: Retries, throttling: Throttling) -> None:
        self.is_entry_tier = settings.is_entry_tier
        self.max_retry_after = settings.max_retry_after if settings.sends_retry_after else 0
        self.tick = tick
        self.retries = retries
        self.throttling = throttling
        self.mean_latencies = [0.0] * len(settings.request_classes)

    def useful_deadline(self, request_class: RequestClass, now: int, deadline: int) -> int:
        """Return until when a response is useful, for a request that begins now.

        Where late responses are worth nothing, working beyond the latency objective would only delay other
        requests. Tiers behind the entry tier can't tell what a response is worth to the client.
        """
        if self.is_entry_tier and not request_class.late_weight:
            return min(deadline, now + request_class.latency_objective)
        return deadline

    def min_time_to_send(self, class_index: int) -> int:
        """Return how much time a request must have left at its turn to be sent.

        A shorter attempt would not finish in time.
        """
        return max(self.tick, round(self.mean_latencies[class_index]))

    def queue_wait(self, class_index: int, queue_position: int) -> int:
        """Return the wait of a request at this position of its key's queue, if all ahead are of this class.

        Used to keep out of the queue requests whose turn would come too late.
        """
        return round(queue_position * self.mean_latencies[class_index])

    def can_wait(self, request: RequestState, now: int, wait: int = 0) -> bool:
        """Return whether a request could still be sent after waiting from `now` on.

        A longer queue would only make all requests in it late.
        """
        return time_left(request, now) > wait + self.min_time_to_send(request.class_index)

    def early_timeout(self, request: RequestState) -> int:
        """Return the timeout of an attempt that may be retried.

        It is a multiple of the mean latency, and at least a fixed part of the latency objective: with a
        shorter one, slow endpoints would have to do their work twice.
        """
        mean_latency = self.mean_latencies[request.class_index]
        min_early_timeout = request.request_class.latency_objective // EARLY_TIMEOUTS_PER_LATENCY_OBJECTIVE
        return max(min_early_timeout, round(EARLY_TIMEOUT_LATENCIES * mean_latency))

    def attempt_timeout(self, request: RequestState, now: int) -> int:
        """Return the timeout of an attempt that begins now.

        Where a retry could follow, it is early: otherwise one silent endpoint would cost a request all its
        time. It is not early while the tier has a reduction: then all endpoints are slow, and retries would
        add load.
        """
        left = request.deadline - now  # `time_left`, inlined
        timeout = request.request_class.attempt_timeout or left
        may_be_early = self.mean_latencies[request.class_index] and not self.throttling.tier.reduction
        if may_be_early and self.retries.budget >= 1 and is_retryable(request):
            timeout = min(timeout, self.early_timeout(request))
        return max(MIN_TIMEOUT, min(left, timeout))

    def has_early_timeout_passed(self, request: RequestState, attempt: Attempt, now: int) -> bool:
        """Return whether an unanswered, retryable attempt has lasted for the early timeout at `now`.

        Used to cancel attempts at an endpoint that has been ejected as hung: their timeouts were set before
        the endpoint stopped answering. A more recent attempt may still be answered.
        """
        has_passed = now - attempt.sent_at >= self.early_timeout(request)
        return has_passed and not request.is_answered and is_retryable(request)

    def retry_after(self, request_class: RequestClass, wait: int) -> int:
        """Return the Retry-After of a rejected request; 0: the response has no Retry-After.

        It covers the time that the request would have waited, and a part of its latency objective: a client
        that came back sooner would meet the same load.
        """
        after = max(wait, round(request_class.latency_objective / RETRY_AFTERS_PER_LATENCY_OBJECTIVE))
        return min(self.max_retry_after, after)

    def record_latency(self, class_index: int, duration: int) -> None:
        """Record the duration of a successful attempt of a class."""
        self.mean_latencies[class_index] = ewma(self.mean_latencies[class_index], duration)
