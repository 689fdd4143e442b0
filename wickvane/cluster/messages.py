"""The messages that members exchange, as typed values with the bounds of their fields."""

from enum import IntEnum
from typing import Annotated, NamedTuple

import msgspec

from wickvane.cluster.gossip import Epoch, GossipEntry, Name

MAX_DATAGRAM_SIZE = 1200  # octets; small enough that no network path fragments it
MAX_HEADER_SIZE = 180  # octets of a datagram without its entries and body
MAX_BODY_SIZE = 960  # octets
MAX_WIRE_ENTRIES = 40

Count = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


class MessageKind(IntEnum):
    """The purpose of a message. Messages of every kind also carry gossip entries."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2  # requests an indirect probe: the receiver pings `subject` for the sender
    NACK = 3  # the probed member did not acknowledge the helper's ping
    RELAYED_ACK = 4  # the probed member acknowledged the helper's ping
    SYNC = 5  # the digest of a member table, for anti-entropy
    ENTRIES = 6  # the entries of the buckets whose digests differ
    GOSSIP = 7  # entries only
    PAYLOAD = 8  # the delegate's own data


class Message(NamedTuple):
    """One message. The first entry is the sender's own."""

    kind: MessageKind
    sender: Name
    sender_epoch: Epoch
    counter: Count  # the number of the datagram among the sender's
    receiver_epoch: Count  # 0 if the sender does not know the receiver; it then matches any epoch
    view_number: Count
    view_digest: int  # 64 bits
    sequence: Count  # the probe's number; in a SYNC 1 if the receiver is to send its digest
    subject: tuple[Name, Epoch] | None  # the member that an indirect probe is about
    body: Annotated[bytes, msgspec.Meta(max_length=MAX_BODY_SIZE)]  # digest or payload
    entries: Annotated[list[GossipEntry], msgspec.Meta(max_length=MAX_WIRE_ENTRIES)]
