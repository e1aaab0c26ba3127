"""Local health awareness (Lifeguard, 2017): a member that may itself be slow uses longer timeouts."""

from dahliabend.membership.swim_config import SwimConfig


class LocalHealth:
    """The local health score: 0 is healthy, and each point adds the base timeout once more.

    Attributes:
        score: The score, up to `SwimConfig.max_health_score`.
    """

    __slots__ = ("_config", "score")

    def __init__(self, config: SwimConfig) -> None:
        self._config = config
        self.score = 0

    @property
    def confidence(self) -> float:
        """Confidence in this member's own observations: 1 if it is healthy, falling towards 0."""
        return 1 - self.score / (self._config.max_health_score + 1)

    def timeout(self, periods: float) -> int:
        """Return a timeout in microseconds: the number of protocol periods, extended by the score."""
        return round(self._config.period * periods * (1 + self.score))

    def worsen(self, points: int = 1) -> None:
        """Record a sign that this member is slow or badly connected."""
        self.score = min(self._config.max_health_score, self.score + points)

    def improve(self) -> None:
        """Record that a probe was answered."""
        self.score = max(0, self.score - 1)

    def set_worst(self) -> None:
        """Set the maximum score, after a pause of this process."""
        self.score = self._config.max_health_score
