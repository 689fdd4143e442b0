"""The event loop of the stand-in proxies, one a module."""

import pytest

from xds_service.service_rig import ProxyLoop


@pytest.fixture(scope="module")
def proxy_loop() -> ProxyLoop:
    """Runs stand-in proxies."""
    return ProxyLoop()
