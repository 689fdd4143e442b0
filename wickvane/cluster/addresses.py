"""Text form of member addresses, and the seeds file."""

from pathlib import Path

from wickvane import parts

MAX_SEEDS = 64
MAX_SEEDS_FILE_SIZE = 16_384  # octets; the rest of the file is ignored


def format_address(address: tuple[str, int]) -> str:
    """Returns a host and port as the text that members exchange."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def parse_address(text: str) -> tuple[str, int]:
    """Returns the host and port of a text. Raises ValueError."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def read_seeds_file(path: str | Path) -> list[str]:
    """Returns the addresses of a file with one address a line. Empty lines and those that begin with # are
    skipped.

    Raises OSError, ValueError or TypeError."""
    with open(path, "rb") as file:
        lines = file.read(MAX_SEEDS_FILE_SIZE).decode().splitlines()
    texts = [line.strip() for line in lines if line.strip() and not line.startswith("#")]
    return [format_address(parts.address(text)) for text in texts]
