"""The command `python -m dahliabend.simulator_adapter`.

It reads batches from standard input and writes a reply to each to standard output.
"""

import sys

from dahliabend.errors import SimulatorProtocolError
from dahliabend.simulator_adapter.codec import read_batch
from dahliabend.simulator_adapter.host import Host


def main() -> int:
    """Reply to each batch until the input ends.

    Returns:
        The exit status: 1 if the input is malformed or standard output was closed by its reader, else 0.
    """
    host = Host()
    source = sys.stdin.buffer
    sink = sys.stdout.buffer
    try:
        while (batch := read_batch(source)) is not None:
            sink.write(host.handle_batch(batch))
            sink.flush()
    except SimulatorProtocolError as error:
        print(f"dahliabend.simulator_adapter: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
