"""The event loop of the test proxies, one for each module."""

import pytest

from xds_service.service_rig import ProxyLoop


@pytest.fixture(scope="module")
def proxy_loop() -> ProxyLoop:
    """Runs test proxies."""
    return ProxyLoop()
