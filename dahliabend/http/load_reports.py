"""Parsing of the load reports that upstreams send in responses and health checks."""

from math import isfinite

PREFIX = b"TEXT"


def parse(text: bytes, fields: tuple[str, ...]) -> dict[str, float]:
    """Return the requested values of a load report; other fields and values that are not finite are ignored.

    >>> parse(
    ...     b"TEXT inflight=7, queue=x, util=0.61, eps=nan, qps=-inf, more",
    ...     ("queue", "util", "eps", "qps"),
    ... )
    {'util': 0.61}
    """
    values = {}
    for field in text.strip().removeprefix(PREFIX).decode("ascii", "replace").split(","):
        name, _, text_value = field.strip().partition("=")
        if name not in fields:
            continue
        try:
            value = float(text_value)
        except ValueError:
            continue
        if isfinite(value):  # NaN or infinity would make every mean it enters NaN or infinite
            values[name] = value
    return values
