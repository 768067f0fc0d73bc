"""Reloading of the configuration on SIGHUP."""

from __future__ import annotations

import logging
from collections.abc import Mapping

from load_balancer.proxy.config import read_discovery_address
from load_balancer.proxy.discovery_client import DiscoveryClient
from load_balancer.proxy.errors import ConfigError

logger = logging.getLogger(__name__)


def reload_configuration(environ: Mapping[str, str], discovery: DiscoveryClient) -> None:
    """Reload the configuration file and switch to the address of discovery in it.

    Any other change needs a restart, because the policy keeps state that depends on the settings. If any part
    of the configuration is invalid, the error is logged and nothing changes.
    """
    try:
        address = read_discovery_address(environ)
    except ConfigError as error:
        # The message says what is invalid, so a traceback would only add noise.
        logger.error("configuration unchanged: %s", error)  # noqa: TRY400
        return
    logger.info("configuration reloaded: discovery at %s:%d", *address)
    discovery.change_address(address)
