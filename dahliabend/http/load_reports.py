"""Load reports, as answers and probes carry them."""

from math import isfinite


def parse(text: bytes, fields: tuple[str, ...]) -> dict[str, float]:
    """The named figures of a report; what is not named, or no finite number, is passed over.

    >>> parse(
    ...     b"TEXT inflight=7, queue=x, util=0.61, eps=nan, qps=-inf, more",
    ...     ("queue", "util", "eps", "qps"),
    ... )
    {'util': 0.61}
    """
    figures = {}
    for part in text.strip().removeprefix(b"TEXT").decode("ascii", "replace").split(","):
        name, _, value = part.strip().partition("=")
        if name in fields:
            try:
                figure = float(value)
            except ValueError:
                continue
            if isfinite(figure):  # one that is not would spoil every mean it went into
                figures[name] = figure
    return figures
