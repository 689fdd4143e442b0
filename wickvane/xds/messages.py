"""Discovery requests and responses, independent of their encoding."""

from collections.abc import Collection, Mapping
from enum import Enum
from typing import NamedTuple

from wickvane.xds.endpoint_view import EndpointView
from wickvane.xds.resource_types import ResourceType


class Variant(Enum):
    """The variant of the xDS protocol that a stream uses; values: the words in status and log."""

    SOTW = "sotw"  # state of the world
    DELTA = "delta"  # incremental


class DiscoveryRequest(NamedTuple):
    """A state-of-the-world request: an ACK, a NACK or a subscription; error: reason of a NACK."""

    resource_type: ResourceType
    version: str
    response_nonce: str
    resource_names: Collection[str]
    error: str | None = None


class DeltaDiscoveryRequest(NamedTuple):
    """An incremental request; initial_versions: by name, the versions held from an earlier stream."""

    resource_type: ResourceType
    response_nonce: str
    subscribe: Collection[str]
    unsubscribe: Collection[str]
    initial_versions: Mapping[str, str]
    error: str | None = None


class DiscoveryResponse(NamedTuple):
    """A response to send.

    names: names of the resources in it, sent with their bodies unless it is a heartbeat; removed: names of
    removed resources (incremental variant only); is_drain: a drain removes an endpoint from the proxy;
    tombstones: text of the tombstones that the first resource's version carries (incremental variant only);
    view: the source of the endpoint resources, None for the catalog.
    """

    resource_type: ResourceType
    nonce: str
    version: str
    names: tuple[str, ...]
    removed: tuple[str, ...] = ()
    is_drain: bool = False
    is_heartbeat: bool = False
    tombstones: str = ""
    view: EndpointView | None = None


class SentResponse(NamedTuple):
    """A response in flight: the proxy has neither acknowledged nor rejected it yet."""

    nonce: str
    sent_at: int
    generation: int
    version: str
    names: tuple[str, ...]
    resource_versions: tuple[str, ...]
