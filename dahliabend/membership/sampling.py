"""Random choices; every draw comes from the one source that a seed replays."""

from collections.abc import Sequence
from random import Random


def sample_up_to(random: Random, population: Sequence[str], count: int) -> list[str]:
    """Return so many members of the population in random order, or all of them if there are fewer."""
    return random.sample(population, min(count, len(population)))
