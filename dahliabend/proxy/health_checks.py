"""Active health checks of endpoints."""

from collections.abc import Callable

from dahliabend.http import load_reports
from dahliabend.http.headers import HEALTHY_PATH, LOAD_PATH
from dahliabend.http.upstream_connection import UpstreamResponse
from dahliabend.model import Outcome
from dahliabend.proxy.endpoint import Endpoint
from dahliabend.proxy.upstream_request import UpstreamRequest
from dahliabend.transport.timers import MICROSECONDS_PER_MILLISECOND


class HealthCheck(UpstreamRequest):
    """A GET of the health path, or of the load path where fields of the load report are configured.

    Either checks the health; the latter also writes the endpoint's load to the log.

    Args:
        endpoint: Endpoint to check.
        report_fields: Fields of the load report to log; empty for none.
        timeout: How long it may take (us).
        on_result: Called with the endpoint's index and the outcome.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        report_fields: tuple[str, ...],
        timeout: int,
        on_result: Callable[[int, Outcome], None],
    ) -> None:
        path = LOAD_PATH if report_fields else HEALTHY_PATH
        host, port = endpoint.address
        head = b"GET %b HTTP/1.1\r\nHost: %b:%d\r\n\r\n" % (path, host.encode(), port)
        super().__init__(endpoint, head, b"", timeout)
        self.report_fields = report_fields
        self.on_result = on_result

    def on_finished(self, outcome: Outcome, duration: int, response: UpstreamResponse | None) -> None:
        """Log the result and pass it on."""
        load = {}
        if response is not None:
            # The body of an error is no load report.
            report = response.body if outcome is Outcome.SUCCEEDED else b""
            load = load_reports.parse(report or response.load_report, self.report_fields)
        self.endpoint.resources.log(
            "health_check.finished",
            upstream=self.endpoint.name,
            outcome=outcome.name,
            duration_ms=duration // MICROSECONDS_PER_MILLISECOND,
            load=load,
        )
        self.on_result(self.endpoint.index, outcome)
