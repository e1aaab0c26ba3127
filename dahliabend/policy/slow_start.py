"""Slow start: the share of load of a recently started endpoint, and the send rate that fills its budget.

Times are in microseconds.
"""

from dahliabend.model import PolicySettings
from dahliabend.policy.records import Endpoint

SEND_RATE_WEIGHT_DIVISOR = 4  # the newest window has the weight 1/4 in the mean rate
MAX_SLOW_START_BUDGET = 1.0  # attempts


class SlowStart:
    """The token budgets of endpoints whose process has started recently.

    Attributes:
        send_rate: Mean rate of attempts to all endpoints (attempts per microsecond).
        sent: Attempts in the open window.
    """

    def __init__(self, settings: PolicySettings, window: int) -> None:
        self.settings = settings
        self.window = window
        self.send_rate = 0.0
        self.sent = 0

    def slow_start_share(self, endpoint: Endpoint, now: int, max_ready: int) -> float:
        """Return the share of its capacity that an endpoint may use at `now`; 0: its budget is spent.

        A process that has just started fails under the load that it carries later. `max_ready` is the number
        of endpoints that share the send rate.
        """
        warmup_time = self.settings.warmup_time
        age = now - endpoint.started_at
        if not endpoint.started_at or age >= warmup_time:
            return 1.0
        initial = self.settings.initial_capacity
        share = initial + (1 - initial) * max(0, age) / warmup_time
        rate = self.send_rate / max_ready * share * (self.settings.warmup_multiple / 2)
        earned = (now - endpoint.budget_filled_at) * rate
        endpoint.budget_filled_at = now
        endpoint.slow_start_budget = min(MAX_SLOW_START_BUDGET, endpoint.slow_start_budget + earned)
        return share if endpoint.slow_start_budget >= 1 else 0.0

    def spend(self, endpoint: Endpoint) -> None:
        """Deduct one attempt from the budget of an endpoint, and count it in the window."""
        endpoint.slow_start_budget -= 1
        self.sent += 1

    def hand_over_budget(self, endpoint: Endpoint, *, is_final: bool) -> float:
        """Deduct from an endpoint's budget what the next policy may spend, and return it.

        If this policy admits no more requests (`is_final`), the next one gets the whole budget, and this one
        sends nothing more to the endpoint; otherwise each gets half. An endpoint has one budget. If both
        policies spent it, the endpoint would be overloaded at each reload.
        """
        if not is_final:
            endpoint.slow_start_budget /= 2
            return endpoint.slow_start_budget
        budget = endpoint.slow_start_budget
        endpoint.slow_start_budget = float("-inf")
        return budget

    def close_window(self, new_requests: int, *, has_endpoint_past_slow_start: bool) -> None:
        """Update the mean send rate by the rate of the window, and start the next window.

        While all endpoints are in slow start, the number of new requests from clients stands for that of
        attempts: few of these are sent, and a rate computed from them would never rise.
        """
        rate = (self.sent if has_endpoint_past_slow_start else new_requests) / self.window
        self.send_rate += (rate - self.send_rate) / SEND_RATE_WEIGHT_DIVISOR if self.send_rate else rate
        self.sent = 0
