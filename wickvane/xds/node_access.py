"""The rules for which nodes may open streams, how many, and which resource groups they may see."""

from fnmatch import fnmatchcase
from typing import NamedTuple

MAX_NODE_CHARACTERS = 256


class NodeRule(NamedTuple):
    """A pattern of node names; groups: the resource groups that matching nodes may see, None for all."""

    pattern: str
    groups: tuple[str, ...] | None = None


class NodeAccess(NamedTuple):
    """The access rules for nodes.

    rules: the first rule that matches a node applies; without rules, every node may see all resource groups.
    """

    rules: tuple[NodeRule, ...] = ()
    max_streams: int = 1000
    max_streams_per_node: int = 4

    def groups_of(self, node: str) -> tuple[str, ...] | None:
        """The resource groups that a node may see: None for all, () for an unknown node."""
        if not self.rules:
            return None
        return next((groups for pattern, groups in self.rules if fnmatchcase(node, pattern)), ())

    def is_known(self, node: str) -> bool:
        """Whether the node may open streams."""
        return self.groups_of(node) != ()


DEFAULT_NODE_ACCESS = NodeAccess()
