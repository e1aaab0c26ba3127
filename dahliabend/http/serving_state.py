"""What a client's connection does with requests, as a state."""

from enum import Enum


class ServingState(Enum):
    """Of a client's connection.

    WAITING goes to SERVING as a request is taken, that to FLUSHING as its response is complete, and that back
    to WAITING once it is sent; behind the final response to LINGERING instead, which stays.
    """

    WAITING = 0  # for a request
    SERVING = 1  # one is with the dispatcher, or its response is under way
    FLUSHING = 2  # its response is complete, and not sent whole yet
    LINGERING = 3  # the final response and an end are sent; all that still comes is discarded


# Bound once: on Python 3.11, reading a member of an enum costs a function call.
WAITING = ServingState.WAITING
SERVING = ServingState.SERVING
FLUSHING = ServingState.FLUSHING
LINGERING = ServingState.LINGERING
