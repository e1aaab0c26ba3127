"""State that one process hands over to its successor, as it stands in a file."""

from collections.abc import Mapping
from typing import Any

Snapshot = Mapping[str, Any]

# The keys of the file, by what they hold.
GENERATION_KEY = "life"
INCARNATION_KEY = "incarnation"
SEQUENCE_NUMBER_KEY = "serial"
MEMBERS_KEY = "members"
