"""Slow start: what a warming endpoint may get, and the rate of attempts by which its budget is filled."""

from dahliabend.model import Settings
from dahliabend.policy.records import Endpoint

SEND_RATE_WEIGHT_DIVISOR = 4  # a window's rate has one such part in the mean rate
MAX_SLOW_START_BUDGET = 1.0  # attempts saved up


class SlowStart:
    """The token budgets of endpoints whose process has started lately.

    Attributes:
        send_rate: Mean rate of attempts to all endpoints (attempts a microsecond).
        sent: Attempts in the open window.
    """

    def __init__(self, settings: Settings, window: int) -> None:
        self.settings = settings
        self.window = window
        self.send_rate = 0.0
        self.sent = 0

    def warm_share(self, endpoint: Endpoint, now: int, max_ready: int) -> float:
        """Return the share of its capacity that an endpoint may get at a time (us); 0: its budget is spent.

        `max_ready` is how many endpoints share the rate of attempts. A process that has just started fails
        under the load that it carries later.
        """
        warmup_time = self.settings.warmup_time
        age = now - endpoint.started_at
        if not endpoint.started_at or age >= warmup_time:
            return 1.0
        initial = self.settings.initial_capacity
        warm = initial + (1 - initial) * max(0, age) / warmup_time
        rate = self.send_rate / max_ready * warm * (self.settings.warmup_multiple / 2)
        earned = (now - endpoint.budget_filled_at) * rate
        endpoint.budget_filled_at = now
        endpoint.slow_start_budget = min(MAX_SLOW_START_BUDGET, endpoint.slow_start_budget + earned)
        return warm if endpoint.slow_start_budget >= 1 else 0.0

    def spend(self, endpoint: Endpoint) -> None:
        """Take one attempt from an endpoint's budget, and counts it in the window."""
        endpoint.slow_start_budget -= 1
        self.sent += 1

    def hand_over_budget(self, endpoint: Endpoint, *, ends: bool) -> float:
        """Return what the decisions that follow may spend: all if these end (`ends`), else half.

        An endpoint has one budget: spent twice, it would be overrun at each reload.
        """
        if not ends:
            endpoint.slow_start_budget /= 2
            return endpoint.slow_start_budget
        budget = endpoint.slow_start_budget
        endpoint.slow_start_budget = float("-inf")
        return budget

    def close_window(self, new_requests: int, *, has_warm_endpoint: bool) -> None:
        """Take the window's rate into the mean rate.

        Where all endpoints are warming up, the clients' new requests stand for the attempts: of these only
        few are sent, and a rate by them would never rise.
        """
        rate = (self.sent if has_warm_endpoint else new_requests) / self.window
        self.send_rate += (rate - self.send_rate) / SEND_RATE_WEIGHT_DIVISOR if self.send_rate else rate
        self.sent = 0
