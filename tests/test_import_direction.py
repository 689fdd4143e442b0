"""Imports between packages go in one direction only, as docs/architecture.md shows."""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
# From the bottom up: a module imports from its own package and from lower layers only.
LAYERS = (
    {"units", "digest"},
    {"errors", "events"},
    {"files", "settings"},
    {"id_registry", "parts", "scheduling"},
    {"net"},
    {"cluster", "config_log", "endpoints", "flows"},
    {"quotas", "xds"},
    {"rehearsal", "wirehost"},
    {"__main__"},
)
LAYER_OF = {package: number for number, layer in enumerate(LAYERS) for package in layer}


def modules() -> list[Path]:
    return sorted(path for path in (ROOT / "wickvane").rglob("*.py") if path.name != "__init__.py")


def package_of(path: Path) -> str:
    """The package or single module right below wickvane."""
    return path.relative_to(ROOT / "wickvane").parts[0].removesuffix(".py")


def imported_packages(path: Path) -> set[str]:
    """Packages of this project that a module imports, including imports within functions."""
    packages = set()
    for node in ast.walk(ast.parse(path.read_text())):
        names = []
        if isinstance(node, ast.ImportFrom) and node.module == "wickvane":
            names = [f"wickvane.{alias.name}" for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module:
            names = [node.module]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        packages |= {name.split(".")[1] for name in names if name.startswith("wickvane.")}
    return packages - {"__version__"}


@pytest.mark.parametrize("path", modules(), ids=lambda path: str(path.relative_to(ROOT)))
def test_a_module_imports_from_lower_layers_only(path):
    package = package_of(path)
    upward = {other for other in imported_packages(path) - {package} if LAYER_OF[other] >= LAYER_OF[package]}
    assert not upward


def test_decisions_import_no_io():
    """The decision modules import nothing that gives access to sockets, files, threads or clocks."""
    forbidden = {"socket", "select", "selectors", "threading", "time", "os", "subprocess", "asyncio"}
    for path in (ROOT / "wickvane" / "scheduling").glob("*.py"):
        tree = ast.parse(path.read_text())
        imported = {
            alias.name.split(".")[0]
            for node in ast.walk(tree)
            if isinstance(node, ast.Import)
            for alias in node.names
        }
        imported |= {
            node.module.split(".")[0]
            for node in ast.walk(tree)
            if isinstance(node, ast.ImportFrom) and node.module
        }
        assert not imported & forbidden, path
