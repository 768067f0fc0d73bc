"""A crowd of idle peers: each connects, sends nothing, and connects again a moment after it was closed.

Arguments: port, number of peers, time in s after which the program ends.
"""

from __future__ import annotations

import selectors
import socket
import sys
import time
from collections import deque

PAUSE_S = 0.05  # from the close of a connection to the peer's next one
POLL_S = 0.005


def connect(port: int) -> socket.socket:
    """Start to open a connection."""
    peer = socket.socket()
    peer.setblocking(False)
    peer.connect_ex(("127.0.0.1", port))
    return peer


def is_refused(peer: socket.socket) -> bool:
    """Return whether a connection that has become readable was refused, not closed."""
    try:
        peer.recv(1)
    except ConnectionRefusedError:
        return True
    except OSError:
        pass
    return False


def main(port: int, count: int, seconds: float) -> None:
    """Keep the peers connected, and tell at the end how many connections there were."""
    end = time.monotonic() + seconds
    waiting = deque([0.0] * count)  # times at which peers connect, ascending
    opened = refused = 0
    with selectors.DefaultSelector() as selector:
        while time.monotonic() < end and refused < count:
            while waiting and waiting[0] <= time.monotonic():
                waiting.popleft()
                selector.register(connect(port), selectors.EVENT_READ)
                opened += 1
            for key, _ in selector.select(POLL_S):
                peer = key.fileobj
                assert isinstance(peer, socket.socket)
                if is_refused(peer):
                    refused += 1
                else:
                    waiting.append(time.monotonic() + PAUSE_S)
                selector.unregister(peer)
                peer.close()
    print(f"{count} peers opened {opened} connections, {refused} were refused in the end")


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]))
