"""Fakes of a pool's router and of timers, with what a subset filter uses of them."""

from types import SimpleNamespace


class FakeRouter:
    """Records the endpoint lists that it is given, each as entries by name."""

    def __init__(self) -> None:
        self.lists = []
        self.excluded = set()
        self.failed_polls = 0
        self.table = SimpleNamespace(
            indices={}, listed_ids=(), remembered_ids={}, remember_id=self.remember_id
        )
        self.balancer = SimpleNamespace(
            selection=SimpleNamespace(ready=[]),
            throttling=SimpleNamespace(window=1),
            outliers=SimpleNamespace(last_answer_at=0),
        )

    def remember_id(self, name: str) -> None:
        self.table.remembered_ids[name] = None

    def endpoints_changed(self, entries, full):
        assert full
        self.lists.append({entry[0]: entry for entry in entries})
        self.table.indices = dict.fromkeys(entry[0] for entry in entries)
        self.balancer.selection.ready = [
            SimpleNamespace(is_ejected=False, last_ended_at=0, budget_filled_at=0) for entry in entries
        ]

    def endpoint_poll_failed(self):
        self.failed_polls += 1


class FakeTimers:
    """Timers that never fire."""

    def schedule(self, due, callback):
        return [due, 0, callback, ()]

    def cancel(self, entry):
        pass
