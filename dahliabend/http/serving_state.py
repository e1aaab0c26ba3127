"""The states of a client connection."""

from enum import Enum


class ServingState(Enum):
    """What a client connection is doing.

    WAITING becomes SERVING when a request is taken, SERVING becomes FLUSHING when its response is complete,
    and FLUSHING becomes WAITING when the response has been sent. After the final response FLUSHING becomes
    LINGERING instead, which lasts until the connection is closed.
    """

    WAITING = 0  # no request is being served
    SERVING = 1  # the dispatcher has a request, or its response is being streamed
    FLUSHING = 2  # the response is complete and has not been sent in full yet
    LINGERING = 3  # final response sent and sending side shut down; further input is discarded


# Module constants, because reading an enum member costs a function call on Python 3.11.
WAITING = ServingState.WAITING
SERVING = ServingState.SERVING
FLUSHING = ServingState.FLUSHING
LINGERING = ServingState.LINGERING
