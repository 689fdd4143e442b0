"""Which nodes may open streams, how many, and which resource groups they may see."""

from fnmatch import fnmatchcase
from typing import NamedTuple

MAX_NODE_CHARACTERS = 256


class NodeRule(NamedTuple):
    """A pattern of node names; groups: the resource groups that such nodes may see, None for all."""

    pattern: str
    groups: tuple[str, ...] | None = None


class NodeAccess(NamedTuple):
    """rules: the first that matches counts, and without any, every node may see all."""

    rules: tuple[NodeRule, ...] = ()
    max_streams: int = 1000
    max_streams_per_node: int = 4

    def groups_of(self, node: str) -> tuple[str, ...] | None:
        """The resource groups of a node: None for all, () for an unknown node."""
        if not self.rules:
            return None
        return next((groups for pattern, groups in self.rules if fnmatchcase(node, pattern)), ())

    def is_known(self, node: str) -> bool:
        """Whether the node may open streams."""
        return self.groups_of(node) != ()


DEFAULT_NODE_ACCESS = NodeAccess()
