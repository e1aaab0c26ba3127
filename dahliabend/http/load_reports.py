"""Load reports, as responses and health checks carry them."""

from math import isfinite

PREFIX = b"TEXT"


def parse(text: bytes, fields: tuple[str, ...]) -> dict[str, float]:
    """The named values of a report; what is not named, or no finite number, is ignored.

    >>> parse(
    ...     b"TEXT inflight=7, queue=x, util=0.61, eps=nan, qps=-inf, more",
    ...     ("queue", "util", "eps", "qps"),
    ... )
    {'util': 0.61}
    """
    values = {}
    for part in text.strip().removeprefix(PREFIX).decode("ascii", "replace").split(","):
        name, _, text_value = part.strip().partition("=")
        if name not in fields:
            continue
        try:
            value = float(text_value)
        except ValueError:
            continue
        if isfinite(value):  # any other would spoil every mean that it went into
            values[name] = value
    return values
