"""`python -m dahliabend.benchlink`: batches on standard input, replies on standard output."""

import sys

from dahliabend.benchlink.host import Host
from dahliabend.benchlink.wire import Malformed, read_frame


def main() -> int:
    host = Host()
    source, sink = sys.stdin.buffer, sys.stdout.buffer
    try:
        while (frame := read_frame(source)) is not None:
            sink.write(host.batch(*frame))
            sink.flush()
    except Malformed as error:
        print(f"dahliabend.benchlink: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
