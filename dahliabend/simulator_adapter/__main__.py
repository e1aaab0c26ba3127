"""`python -m dahliabend.simulator_adapter`: batches on standard input, replies on standard output."""

import sys

from dahliabend.simulator_adapter.codec import Malformed, read_frame
from dahliabend.simulator_adapter.host import Host


def main() -> int:
    host = Host()
    source, sink = sys.stdin.buffer, sys.stdout.buffer
    try:
        while (frame := read_frame(source)) is not None:
            sink.write(host.batch(*frame))
            sink.flush()
    except Malformed as error:
        print(f"dahliabend.simulator_adapter: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
