"""Encodes discovery responses; a response that is the same for many streams is encoded once.

Only the nonce differs between streams. It is appended to the encoded response, since the fields of a protobuf
message may be in any order.
"""

from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import any_pb2

from wickvane.xds.catalog import CachedResource, Catalog
from wickvane.xds.messages import DiscoveryResponse, Variant
from wickvane.xds.resource_types import ResourceType
from wickvane.xds.resource_version import with_tombstones
from wickvane.xds.resources import set_duration

MAX_CACHED_RESPONSES = 512
NONCE_TAG = b"\x2a"  # field 5, length-delimited, of both variants' responses


class ResponseEncoder:
    """Encodes the responses of one catalog."""

    def __init__(self, catalog: Catalog) -> None:
        self._catalog = catalog
        self._cache: dict[tuple, bytes] = {}
        self._cached_generation = -1

    def encode(self, variant: Variant, response: DiscoveryResponse, ttl: int) -> bytes:
        """Returns the encoded response; ttl: time to live of endpoints in ticks, 0 for none."""
        if self._cached_generation != self._catalog.generation or len(self._cache) > MAX_CACHED_RESPONSES:
            self._cache = {}
            self._cached_generation = self._catalog.generation
        key = variant, response._replace(nonce=""), ttl
        data = self._cache.get(key)
        if data is None:
            resource_ttl = ttl if response.resource_type == ResourceType.EDS else 0
            match variant:
                case Variant.SOTW:
                    data = self._encode_sotw(response, resource_ttl)
                case Variant.DELTA:
                    data = self._encode_delta(response, resource_ttl)
            self._cache[key] = data
        nonce = response.nonce.encode()
        return data + NONCE_TAG + bytes((len(nonce),)) + nonce

    def _encode_sotw(self, response: DiscoveryResponse, ttl: int) -> bytes:
        type_url = response.resource_type.type_url
        message = discovery_pb2.DiscoveryResponse(version_info=response.version, type_url=type_url)
        for name in response.names:
            resource = sent_resource(self._catalog, response, name)
            if ttl:
                wrapped = _resource_message(response, name, resource, ttl)
                message.resources.add().Pack(wrapped, deterministic=True)
            else:
                message.resources.add(type_url=type_url, value=resource.body)
        return message.SerializeToString()

    def _encode_delta(self, response: DiscoveryResponse, ttl: int) -> bytes:
        message = discovery_pb2.DeltaDiscoveryResponse(
            system_version_info=response.version,
            type_url=response.resource_type.type_url,
            removed_resources=response.removed,
        )
        for name in response.names:
            resource = sent_resource(self._catalog, response, name)
            message.resources.append(_resource_message(response, name, resource, ttl))
        return message.SerializeToString()


def sent_resource(catalog: Catalog, response: DiscoveryResponse, name: str) -> CachedResource:
    """A resource as a response sends it: from its view, and the first one with the tombstones' text."""
    if response.view is not None:
        resource = response.view.resource(name)
    else:
        resource = catalog.resources[response.resource_type][name]
    if response.tombstones and name == response.names[0]:
        return resource._replace(version=with_tombstones(resource.version, response.tombstones))
    return resource


def _resource_message(
    response: DiscoveryResponse, name: str, resource: CachedResource, ttl: int
) -> discovery_pb2.Resource:
    message = discovery_pb2.Resource(name=name, version=resource.version)
    if not response.is_heartbeat:
        type_url = response.resource_type.type_url
        message.resource.CopyFrom(any_pb2.Any(type_url=type_url, value=resource.body))
    if ttl:
        set_duration(message.ttl, ttl)
    return message
