"""The admin API: the calls with which operators query and control a running server."""

from collections.abc import Callable
from typing import Any, Protocol

import orjson

from dahliabend.http.admin_connection import AdminResponse
from dahliabend.server.log import EventLog

FIRST_ERROR_STATUS = 400
MAX_LOGGED_CHARACTERS = 100  # of a path or an upstream's name in an admin call
_JSON_HEADER = b"Content-Type: application/json\r\n"

AdminCall = Callable[[bytes], AdminResponse]


class AdminTarget(Protocol):
    """The server, reduced to what admin calls need."""

    def ready(self) -> bool:
        """Return whether requests can be served."""

    def telemetry(self) -> dict[str, Any]:
        """Return the counters of requests, attempts and reloads."""

    def membership_status(self) -> dict[str, Any] | None:
        """Return the members of the cluster; None if the server is not a member of one."""

    def subset_status(self) -> dict[str, Any]:
        """Return, by pool, the subset of upstreams in use; pools without a subset are left out."""

    def gossip_status(self) -> dict[str, Any] | None:
        """Return the health reports exchanged with other balancers; None without health gossip."""

    def lease_status(self) -> dict[str, Any] | None:
        """Return the leases of shared health checks; None if health checks are not shared."""

    def exclude(self, name: str, excluded: bool) -> bool:
        """Exclude an upstream or include it again; return whether an endpoint list has ever had it."""

    def evacuate(self) -> None:
        """Close client connections, so that clients connect to other balancers, until `rejoin` is called."""

    def rejoin(self) -> None:
        """End the evacuation."""


def json_response(status: int, **fields: object) -> AdminResponse:
    """Return a response whose body is a JSON object with these fields."""
    return AdminResponse(status, _JSON_HEADER, orjson.dumps(fields, option=orjson.OPT_APPEND_NEWLINE))


class AdminApi:
    """The handler of admin calls.

    Attributes:
        target: The server that the calls query and control.
        log: The event log.
        calls: The HTTP method and the handler of each call, by path.
    """

    def __init__(self, target: AdminTarget, log: EventLog) -> None:
        self.target = target
        self.log = log
        self.calls: dict[bytes, tuple[bytes, AdminCall]] = {
            b"/api/ready": (b"GET", self.ready),
            b"/api/telemetry": (b"GET", self.telemetry),
            b"/api/exclude": (b"PUT", self.exclude),
            b"/api/include": (b"PUT", self.include),
            b"/api/evacuate": (b"PUT", self.evacuate),
            b"/api/rejoin": (b"PUT", self.rejoin),
            b"/api/members": (b"GET", self.members),
            b"/api/subsets": (b"GET", self.subsets),
            b"/api/signals": (b"GET", self.gossip),
            b"/api/turns": (b"GET", self.leases),
        }

    def __call__(self, method: bytes, path: bytes, body: bytes) -> AdminResponse:
        """Handle a call, and log it unless it only read something and succeeded."""
        allowed_method, call = self.calls.get(path, (b"", None))
        if call is None:
            response = json_response(404, error="no such call")
        elif method != allowed_method:
            response = AdminResponse(405, b"Allow: %b\r\n" % allowed_method, b"wrong method\n")
        else:
            response = call(body)
        status = response.status
        if allowed_method != b"GET" or status >= FIRST_ERROR_STATUS:
            self.log(
                "admin.called",
                method=method.decode("latin-1"),
                path=path.decode("latin-1")[:MAX_LOGGED_CHARACTERS],
                status=status,
            )
        return response

    def ready(self, _body: bytes) -> AdminResponse:
        """Respond with 200 if requests can be served, otherwise with 503."""
        ready = self.target.ready()
        return json_response(200 if ready else 503, ready=ready)

    def telemetry(self, _body: bytes) -> AdminResponse:
        """Respond with the counters."""
        return json_response(200, **self.target.telemetry())

    def members(self, _body: bytes) -> AdminResponse:
        """Respond with the members of the cluster."""
        return _respond_or_not_found(self.target.membership_status(), "there is no [members]")

    def subsets(self, _body: bytes) -> AdminResponse:
        """Respond with the subsets in use, by pool."""
        return json_response(200, pools=self.target.subset_status())

    def gossip(self, _body: bytes) -> AdminResponse:
        """Respond with the health reports of all balancers."""
        return _respond_or_not_found(self.target.gossip_status(), "[members] has no signals")

    def leases(self, _body: bytes) -> AdminResponse:
        """Respond with the leases of shared health checks."""
        return _respond_or_not_found(self.target.lease_status(), "[members] has no probing")

    def exclude(self, body: bytes) -> AdminResponse:
        """Exclude an upstream from all pools."""
        return self._set_excluded(body, excluded=True)

    def include(self, body: bytes) -> AdminResponse:
        """Include an excluded upstream again."""
        return self._set_excluded(body, excluded=False)

    def evacuate(self, _body: bytes) -> AdminResponse:
        """Start the evacuation: client connections are closed until `rejoin` is called."""
        self.target.evacuate()
        return json_response(200, evacuated=True)

    def rejoin(self, _body: bytes) -> AdminResponse:
        """End the evacuation."""
        self.target.rejoin()
        return json_response(200, evacuated=False)

    def _set_excluded(self, body: bytes, *, excluded: bool) -> AdminResponse:
        try:
            target = orjson.loads(body)["target"]
        except (ValueError, TypeError, KeyError):
            return json_response(400, error="no JSON object with a target")
        if not isinstance(target, str) or not target:
            return json_response(400, error="target: no text, or empty")
        if not self.target.exclude(target, excluded):
            return json_response(404, error="target: never listed")
        self.log(
            "upstream.excluded" if excluded else "upstream.included",
            upstream=target[:MAX_LOGGED_CHARACTERS],
        )
        return json_response(200, target=target, excluded=excluded)


def _respond_or_not_found(status: dict[str, Any] | None, error: str) -> AdminResponse:
    return json_response(404, error=error) if status is None else json_response(200, **status)
