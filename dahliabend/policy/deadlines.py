"""How much time a request has left, and what it is worth: deadlines, time-outs, Retry-After."""

from dahliabend.model import RequestClass, Settings
from dahliabend.policy.moving_average import ewma
from dahliabend.policy.records import Attempt, RequestState
from dahliabend.policy.retries import Retries, is_retryable
from dahliabend.policy.throttling import Throttling

EARLY_TIMEOUT_LATENCIES = 8  # mean latencies for an attempt that may be repeated
EARLY_TIMEOUTS_PER_LATENCY_OBJECTIVE = 2  # such an attempt has at least this part of the latency objective
RETRY_AFTERS_PER_LATENCY_OBJECTIVE = 4
MIN_TIMEOUT = 1  # microseconds


def time_left(request: RequestState, now: int) -> int:
    """Return the time from `now` to the deadline of a request (us); 0 or less once it is over."""
    return request.deadline - now


class Deadlines:
    """The mean latency of each class, and what follows from it for the time of requests.

    Attributes:
        mean_latencies: Of successes, by request class (us); 0: none yet.
        tick: Between two runs of the balancer's timer (us).
    """

    def __init__(self, settings: Settings, tick: int, retries: Retries, throttling: Throttling) -> None:
        self.is_entry_tier = settings.is_entry_tier
        self.max_retry_after = settings.max_retry_after if settings.sends_retry_after else 0
        self.tick = tick
        self.retries = retries
        self.throttling = throttling
        self.mean_latencies = [0.0] * len(settings.request_classes)

    def useful_deadline(self, request_class: RequestClass, now: int, deadline: int) -> int:
        """Return until when an answer is worth anything (us), for a request that begins now.

        Where late answers are worth nothing, work beyond the latency objective would only delay other
        requests. Tiers behind the first cannot tell what an answer is worth to the client.
        """
        if self.is_entry_tier and not request_class.late_weight:
            return min(deadline, now + request_class.latency_objective)
        return deadline

    def min_time_to_send(self, class_index: int) -> int:
        """Return what has to be left at its turn for a request to be sent (us).

        The end of a shorter attempt would bring no answer in time.
        """
        return max(self.tick, round(self.mean_latencies[class_index]))

    def queue_wait(self, class_index: int, ahead: int) -> int:
        """Return how long so many turns of a key take (us), all taken to be of this class.

        Without the wait, a request would be queued whose turn comes too late.
        """
        return round(ahead * self.mean_latencies[class_index])

    def can_wait(self, request: RequestState, now: int, wait: int = 0) -> bool:
        """Return whether a request would still be sent after a wait (us) from now on.

        A queue longer than this only makes all requests in it late.
        """
        return time_left(request, now) > wait + self.min_time_to_send(request.class_index)

    def early_timeout(self, request: RequestState) -> int:
        """Return how long an attempt is waited for that may be repeated (us).

        Many mean latencies, and a good part of the objective: sooner, slow endpoints would get work twice.
        """
        mean_latency = self.mean_latencies[request.class_index]
        min_early_timeout = request.request_class.latency_objective // EARLY_TIMEOUTS_PER_LATENCY_OBJECTIVE
        return max(min_early_timeout, round(EARLY_TIMEOUT_LATENCIES * mean_latency))

    def attempt_timeout(self, request: RequestState, now: int) -> int:
        """Return the time-out of an attempt that begins now (us).

        It is early where a retry could follow: else one silent endpoint costs a request all its time. Not so
        while the tier holds a reduction, where all are slow and repeats would be more load.
        """
        left = request.deadline - now  # `time_left`, without the call
        timeout = request.request_class.attempt_timeout or left
        is_unthrottled = self.mean_latencies[request.class_index] and not self.throttling.tier.reduction
        if is_unthrottled and self.retries.budget >= 1 and is_retryable(request):
            timeout = min(timeout, self.early_timeout(request))
        return max(MIN_TIMEOUT, min(left, timeout))

    def is_early_timeout_over(self, request: RequestState, attempt: Attempt, now: int) -> bool:
        """Return whether an attempt at a hung endpoint is cancelled at a time (us), to be sent elsewhere.

        Its time-out was set before the endpoint fell silent; one that just began may still be answered.
        """
        is_late = now - attempt.sent_at >= self.early_timeout(request)
        return is_late and not request.is_answered and is_retryable(request)

    def retry_after(self, request_class: RequestClass, wait: int) -> int:
        """Return when a rejected client is told to come back (us; 0: it is told nothing).

        After what it would have had to wait (us) and a part of its objective: sooner, it meets the same load.
        """
        after = max(wait, round(request_class.latency_objective / RETRY_AFTERS_PER_LATENCY_OBJECTIVE))
        return min(self.max_retry_after, after)

    def record_latency(self, class_index: int, duration: int) -> None:
        """Learn from a success that took so long (us)."""
        self.mean_latencies[class_index] = ewma(self.mean_latencies[class_index], duration)
