"""Fixtures of the tests of endpoint lists."""

from pathlib import Path

import pytest


@pytest.fixture
def path(tmp_path: Path) -> str:
    """Returns the path of a test's document."""
    return str(tmp_path / "members.kdl")
