"""`python -m load_balancer.simulator`: answers the simulator's batches over standard input and output.

Exits with status 0 at the end of the input and with 2 if the input is malformed.
"""

from __future__ import annotations

import gc
import sys

from load_balancer.simulator.host import serve
from load_balancer.simulator.wire_format import WireError

EXIT_OK = 0
EXIT_MALFORMED_INPUT = 2


def main() -> int:
    """Serve batches until standard input ends, and return the exit status."""
    gc.freeze()  # imported objects live until the exit, so the garbage collector need not scan them
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"load_balancer: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
