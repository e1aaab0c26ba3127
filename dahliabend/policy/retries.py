"""Retries and hedges: idempotency, deduplication, the retry budget and the maximum number of attempts."""

from dahliabend.model import DeduplicationScope, Idempotency, Outcome, PolicySettings
from dahliabend.policy.records import RequestState

INITIAL_BUDGET = 1.0  # retries
MAX_RETRY_BUDGET = 10  # retries after attempts that may have executed, and hedges
RETRY_COST = 1  # of the budget, per retry or hedge


def may_attempt(request: RequestState, now: int) -> bool:
    """Return whether a request, with no attempt in flight, may be sent at `now` (us).

    After attempts that may have executed, only an idempotent request may be sent again, or one whose repeats
    the endpoints still drop: any other would take effect twice.
    """
    if len(request.attempts) >= request.max_attempts or request.is_body_consumed or request.in_flight:
        return False
    if not request.attempts:
        return True
    request_class = request.request_class
    executed = [attempt for attempt in request.attempts if attempt.may_have_executed]
    if 0 <= request_class.max_retries_after_execution < len(executed):
        return False
    if executed and request_class.effect is Idempotency.DEDUPLICATED:
        return now < executed[0].sent_at + request_class.deduplication_window
    return not executed or request_class.effect is Idempotency.IDEMPOTENT


def is_retryable(request: RequestState) -> bool:
    """Return whether a request could be sent once more even if its attempt in flight has executed.

    Only then is it useful to give that attempt less than all the time that is left.
    """
    has_more = len(request.attempts) < request.max_attempts and not request.is_body_consumed
    return has_more and request.request_class.effect is not Idempotency.NON_IDEMPOTENT


def is_retryable_by_client(request: RequestState) -> bool:
    """Return whether the client may send a request again, through any balancer and to any endpoint.

    If a client were wrongly told so, the request would take effect twice.
    """
    request_class = request.request_class
    if request_class.effect is Idempotency.IDEMPOTENT:
        return True
    is_deduplicated_everywhere = request_class.deduplication_scope is DeduplicationScope.ALL
    if request_class.effect is Idempotency.DEDUPLICATED and is_deduplicated_everywhere:
        return True
    return request.first_possibly_executed() is None


class Retries:
    """The budget for retries that may execute a request again.

    Attributes:
        budget: Number of retries that may be spent.
        deposit_per_request: What the first attempt of each request adds.
    """

    def __init__(self, settings: PolicySettings) -> None:
        self.budget = INITIAL_BUDGET
        self.deposit_per_request = settings.retry_budget_ratio

    def has_budget(self) -> bool:
        """Return whether the budget suffices for a retry; without a budget, retries multiply across tiers."""
        return self.budget >= RETRY_COST

    def may_retry(self, outcome: Outcome) -> bool:
        """Return whether another attempt may follow one with this outcome.

        A retry is free if the attempt provably did not execute. An attempt that was not sent failed in this
        process, and would fail here again.
        """
        if outcome is Outcome.NOT_SENT:
            return False
        return outcome.proves_not_executed or self.has_budget()

    def may_hedge(self, request: RequestState, now: int) -> bool:
        """Return whether a slow attempt may get a hedge at `now` (us).

        A request gets one hedge at most, and it is paid for like a retry: in an overload all attempts are
        slow.
        """
        has_attempts_left = len(request.attempts) < request.max_attempts
        is_open = not (request.is_answered or request.is_streaming) and now < request.deadline
        return is_open and request.in_flight == 1 and has_attempts_left and self.has_budget()

    def deposit(self) -> None:
        """Add the share of a first attempt to the budget."""
        self.budget = min(MAX_RETRY_BUDGET, self.budget + self.deposit_per_request)

    def withdraw_for_retry(self, outcome: Outcome) -> None:
        """Deduct a retry from the budget, if the attempt with this outcome may have executed."""
        self.budget -= not outcome.proves_not_executed

    def withdraw_for_hedge(self) -> None:
        """Deduct a hedge from the budget."""
        self.budget -= RETRY_COST


def cancellable_attempts(request: RequestState) -> range:
    """Return the indices of the attempts that may be in flight: the newest, and the one that it hedges.

    Empty while the response is being streamed, because the client has a part of it.
    """
    if not request.in_flight or request.is_streaming:
        return range(0)
    return range(len(request.attempts) - 1 - request.hedges, len(request.attempts))
