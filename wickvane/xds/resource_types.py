"""The xDS resource types that the service offers, with their type URLs."""

from enum import IntEnum

WILDCARD = "*"  # the resource name that subscribes to all resources of a type


class ResourceType(IntEnum):
    """A type of xDS resource; the values are the indexes of lists with one element for each type."""

    CDS = 0
    EDS = 1
    LDS = 2
    RDS = 3

    @property
    def type_url(self) -> str:
        """The type URL of requests, responses and resources."""
        return TYPE_URLS[self]

    @property
    def allows_wildcard(self) -> bool:
        """Whether state-of-the-world requests may subscribe to all resources, and responses list all."""
        return self in (ResourceType.CDS, ResourceType.LDS)


TYPE_URLS = (
    "type.googleapis.com/envoy.config.cluster.v3.Cluster",
    "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
    "type.googleapis.com/envoy.config.listener.v3.Listener",
    "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
)
RESOURCE_TYPE_BY_URL = {url: ResourceType(number) for number, url in enumerate(TYPE_URLS)}
