"""Probes of upstreams."""

from collections.abc import Callable

from dahliabend.http import load_reports as loads
from dahliabend.http.headers import HEALTHY, LOAD_PATH
from dahliabend.model import Outcome
from dahliabend.proxy.endpoint_table import Endpoint, UpstreamRequest


class HealthCheck(UpstreamRequest):
    """Either path is a probe; the one with a load report tells the log more."""

    def __init__(self, upstream: Endpoint, fields: tuple[str, ...], timeout: int, told: Callable) -> None:
        path = LOAD_PATH if fields else HEALTHY
        message = b"GET %b HTTP/1.1\r\nHost: %b:%d\r\n\r\n" % (
            path, upstream.address[0].encode(), upstream.address[1],
        )  # fmt: skip
        super().__init__(upstream, message, b"", timeout)
        self.fields, self.told = fields, told

    def on_finished(self, outcome: Outcome, took: int, answer: tuple | None) -> None:
        load = loads.parse(answer[1] or answer[2], self.fields) if answer else {}
        self.endpoint.table.log(
            "probe", upstream=self.endpoint.name, outcome=outcome.name, ms=took // 1000, load=load
        )
        self.told(self.endpoint.index, outcome)
