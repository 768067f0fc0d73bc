"""Entry point of the node: reads the configuration, installs signal handlers and serves until SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

import uvloop

from load_balancer.proxy.config import Config, read_config
from load_balancer.proxy.errors import ConfigError
from load_balancer.proxy.log_rate_limit import LogRateLimit
from load_balancer.proxy.memory_plan import resident_bytes
from load_balancer.proxy.node import Node

EXIT_BAD_CONFIGURATION = 2


def configure_logging() -> None:
    """Log to standard error at level INFO, with a rate limit for warnings."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    logging.getLogger().handlers[0].addFilter(LogRateLimit())


async def serve(config: Config) -> None:
    """Run a node until SIGTERM or SIGINT, then shut it down gracefully.

    Raises:
        OSError: The node can't listen on its address.
    """
    loop = asyncio.get_running_loop()
    shutdown_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, shutdown_requested.set)
    gc.collect()
    node = Node(config, loop, resident_bytes())
    loop.add_signal_handler(signal.SIGHUP, node.reload, os.environ)
    gc.collect()
    gc.freeze()  # startup objects live as long as the process, so later collections need not scan them
    node.start()
    await shutdown_requested.wait()
    await node.shut_down()


def main() -> int:
    """Run the node and return the exit status of the process."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until a node can reload its configuration
    configure_logging()
    try:
        config = read_config(os.environ)
    except ConfigError as error:
        print(f"load_balancer: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    try:
        uvloop.run(serve(config))
    except OSError as error:
        print(f"load_balancer: {config.listen[0]}:{config.listen[1]}: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    return 0


if __name__ == "__main__":
    sys.exit(main())
