"""A pool's router and timers, as far as a subset filter uses them."""

from types import SimpleNamespace


class FakeRouter:
    """Keeps the endpoint lists that it is given, each as rows by name."""

    def __init__(self) -> None:
        self.lists = []
        self.excluded = set()
        self.failed_polls = 0
        self.table = SimpleNamespace(indices={}, known_ids={}, remember_id=self.remember_id)
        self.balancer = SimpleNamespace(
            selection=SimpleNamespace(ready=[]),
            throttling=SimpleNamespace(window=1),
            outliers=SimpleNamespace(last_answer_at=0),
        )

    def remember_id(self, name: str) -> None:
        self.table.known_ids[name] = None

    def endpoints_changed(self, rows, full):
        assert full
        self.lists.append({row[0]: row for row in rows})
        self.table.indices = dict.fromkeys(row[0] for row in rows)
        self.balancer.selection.ready = [
            SimpleNamespace(is_ejected=False, last_ended_at=0, budget_filled_at=0) for row in rows
        ]

    def endpoint_poll_failed(self):
        self.failed_polls += 1


class FakeTimers:
    """Timers that never fire."""

    def schedule(self, when, call):
        return [when, 0, call, ()]

    def cancel(self, entry):
        pass
