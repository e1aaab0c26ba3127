"""Random sampling; all draws come from one generator, so that a seed replays a run."""

from collections.abc import Sequence
from random import Random


def sample_up_to(random: Random, population: Sequence[str], count: int) -> list[str]:
    """Return `count` items of the population in random order, or all of them if there are fewer."""
    return random.sample(population, min(count, len(population)))
