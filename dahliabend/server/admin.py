"""What each of the operators' calls does."""

from collections.abc import Callable

import orjson

from dahliabend.http.admin_connection import AdminResponse

_JSON = b"Content-Type: application/json\r\n"


def said(status: int, **fields) -> AdminResponse:
    return status, _JSON, orjson.dumps(fields, option=orjson.OPT_APPEND_NEWLINE)


class AdminApi:
    """The calls by path, each with its method. They act on the program, which has all that is asked about."""

    def __init__(self, program, log: Callable) -> None:
        self.program, self.log = program, log
        self.calls = {
            b"/api/ready": (b"GET", self.ready),
            b"/api/telemetry": (b"GET", self.telemetry),
            b"/api/exclude": (b"PUT", self.exclude),
            b"/api/include": (b"PUT", self.include),
            b"/api/evacuate": (b"PUT", self.evacuate),
            b"/api/rejoin": (b"PUT", self.rejoin),
            b"/api/members": (b"GET", self.members),
            b"/api/subsets": (b"GET", self.subsets),
            b"/api/signals": (b"GET", self.signals),
            b"/api/turns": (b"GET", self.turns),
        }

    def __call__(self, method: bytes, path: bytes, body: bytes) -> AdminResponse:
        wanted, call = self.calls.get(path, (b"", None))
        if call is None:
            answer = said(404, error="no such call")
        elif method != wanted:
            answer = 405, b"Allow: %b\r\n" % wanted, b"wrong method\n"
        else:
            answer = call(body)
        if wanted != b"GET" or answer[0] >= 400:
            self.log(
                "call", method=method.decode("latin-1"), path=path.decode("latin-1")[:100], status=answer[0]
            )
        return answer

    def ready(self, _: bytes) -> AdminResponse:
        ready = self.program.ready()
        return said(200 if ready else 503, ready=ready)

    def telemetry(self, _: bytes) -> AdminResponse:
        return said(200, **self.program.telemetry())

    def members(self, _: bytes) -> AdminResponse:
        shown = self.program.members()
        return said(404, error="there is no [members]") if shown is None else said(200, **shown)

    def subsets(self, _: bytes) -> AdminResponse:
        return said(200, pools=self.program.subsets())

    def signals(self, _: bytes) -> AdminResponse:
        shown = self.program.signals()
        return said(404, error="[members] has no signals") if shown is None else said(200, **shown)

    def turns(self, _: bytes) -> AdminResponse:
        shown = self.program.turns()
        return said(404, error="[members] has no probing") if shown is None else said(200, **shown)

    def exclude(self, body: bytes, out: bool = True) -> AdminResponse:
        try:
            target = orjson.loads(body)["target"]
        except (ValueError, TypeError, KeyError):
            return said(400, error="no JSON object with a target")
        if not isinstance(target, str) or not target:
            return said(400, error="target: no text, or empty")
        if not self.program.exclude(target, out):
            return said(404, error="target: never listed")
        self.log("excluded" if out else "included", upstream=target[:100])
        return said(200, target=target, excluded=out)

    def include(self, body: bytes) -> AdminResponse:
        return self.exclude(body, out=False)

    def evacuate(self, _: bytes) -> AdminResponse:
        self.program.evacuate()
        return said(200, evacuated=True)

    def rejoin(self, _: bytes) -> AdminResponse:
        self.program.rejoin()
        return said(200, evacuated=False)
