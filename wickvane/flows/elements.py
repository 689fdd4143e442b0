"""The information elements of records: IANA's and the project's own, with numbers and types.

Sources: RFC 7012 and the IANA registry "IPFIX Information Elements"; RFC 5103 for the reverse direction,
whose elements have the reverse enterprise number 29305 or, in an enterprise's own space, bit 0x4000 of the id
set (its section 6.2). The project's own elements are listed in docs/flows.md; an id is never given a second
meaning.
"""

import struct
from hashlib import blake2b
from typing import NamedTuple

REVERSE_PEN, REVERSE_BIT = 29_305, 0x4000
VARIABLE, DIGEST_SIZE = 0xFFFF, 8
OWN = -1  # placeholder for the enterprise number in the extensions document


class Element(NamedTuple):
    """An information element of IPFIX."""

    name: str
    number: int
    enterprise: int  # 0: IANA's
    type: str  # a key of ENCODINGS
    length: int


class Encoding(NamedTuple):
    """The encoding of a type: its length, and its `struct` letter if the length is fixed."""

    length: int
    letter: str


ENCODINGS = {
    "unsigned8": Encoding(1, "B"),
    "unsigned16": Encoding(2, "H"),
    "unsigned32": Encoding(4, "I"),
    "unsigned64": Encoding(8, "Q"),
    "dateTimeMilliseconds": Encoding(8, "Q"),
    "ipv4Address": Encoding(4, "4s"),
    "ipv6Address": Encoding(16, "16s"),
    "md5": Encoding(16, "16s"),
    "string": Encoding(VARIABLE, ""),
    "octetArray": Encoding(VARIABLE, ""),
}


def elements_by_name(rows):
    return {
        name: Element(name, number, enterprise, type, ENCODINGS[type].length)
        for name, number, enterprise, type in rows
    }


ELEMENTS = elements_by_name(
    (
        ("octetDeltaCount", 1, 0, "unsigned64"),
        ("deltaFlowCount", 3, 0, "unsigned64"),
        ("protocolIdentifier", 4, 0, "unsigned8"),
        ("sourceTransportPort", 7, 0, "unsigned16"),
        ("sourceIPv4Address", 8, 0, "ipv4Address"),
        ("destinationTransportPort", 11, 0, "unsigned16"),
        ("destinationIPv4Address", 12, 0, "ipv4Address"),
        ("sourceIPv6Address", 27, 0, "ipv6Address"),
        ("destinationIPv6Address", 28, 0, "ipv6Address"),
        ("exportedOctetTotalCount", 40, 0, "unsigned64"),
        ("exportedMessageTotalCount", 41, 0, "unsigned64"),
        ("exportedFlowRecordTotalCount", 42, 0, "unsigned64"),
        ("flowEndReason", 136, 0, "unsigned8"),
        ("exportingProcessId", 144, 0, "unsigned32"),
        ("flowId", 148, 0, "unsigned64"),
        ("observationDomainId", 149, 0, "unsigned32"),
        ("flowStartMilliseconds", 152, 0, "dateTimeMilliseconds"),
        ("flowEndMilliseconds", 153, 0, "dateTimeMilliseconds"),
        ("notSentFlowTotalCount", 166, 0, "unsigned64"),
        ("notSentPacketTotalCount", 167, 0, "unsigned64"),
        ("notSentOctetTotalCount", 168, 0, "unsigned64"),
        ("interfaceName", 82, 0, "string"),
        ("applicationName", 96, 0, "string"),
        ("userName", 371, 0, "string"),
        ("initiatorOctets", 231, 0, "unsigned64"),
        ("responderOctets", 232, 0, "unsigned64"),
        ("biflowDirection", 239, 0, "unsigned8"),
        ("messageMD5Checksum", 262, 0, "md5"),
        ("messageScope", 263, 0, "unsigned8"),
        ("observationTimeMilliseconds", 323, 0, "dateTimeMilliseconds"),
        ("reverseOctetDeltaCount", 1, REVERSE_PEN, "unsigned64"),
        # The project's own elements.
        ("flowPart", 1, OWN, "unsigned32"),
        ("flowSide", 2, OWN, "unsigned8"),
        ("resourceGroup", 3, OWN, "string"),
        ("tenant", 4, OWN, "string"),
        ("engine", 5, OWN, "string"),
        ("engineStateStart", 6, OWN, "unsigned8"),
        ("engineStateEnd", 7, OWN, "unsigned8"),
        ("messageDeltaCount", 8, OWN, "unsigned64"),
        ("reverseMessageDeltaCount", 8 | REVERSE_BIT, OWN, "unsigned64"),
        ("queriesFinished", 9, OWN, "unsigned32"),
        ("queriesDeferred", 10, OWN, "unsigned32"),
        ("queriesKilled", 11, OWN, "unsigned32"),
        ("queriesLeft", 12, OWN, "unsigned32"),
        ("submissionsFirst", 13, OWN, "unsigned32"),
        ("submissionsFurther", 14, OWN, "unsigned32"),
        ("foldedFlowTotalCount", 15, OWN, "unsigned64"),
        ("accountedFlowTotalCount", 16, OWN, "unsigned64"),
        ("clientOctetTotalCount", 17, OWN, "unsigned64"),
        ("engineOctetTotalCount", 18, OWN, "unsigned64"),
        ("repeatedMessageTotalCount", 19, OWN, "unsigned64"),
        ("collector", 20, OWN, "string"),
        ("spoiltMessageTotalCount", 21, OWN, "unsigned64"),
    )
)

FLOW = (
    "flowId",
    "flowPart",
    "flowSide",
    "flowEndReason",
    "flowStartMilliseconds",
    "flowEndMilliseconds",
    "deltaFlowCount",
    "protocolIdentifier",
    "biflowDirection",
    "sourceTransportPort",
    "destinationTransportPort",
    "octetDeltaCount",
    "reverseOctetDeltaCount",
    "messageDeltaCount",
    "reverseMessageDeltaCount",
    "queriesFinished",
    "queriesDeferred",
    "queriesKilled",
    "queriesLeft",
    "submissionsFirst",
    "submissionsFurther",
    "engineStateStart",
    "engineStateEnd",
)
NAMES = ("resourceGroup", "tenant", "engine")
IPV4, IPV6 = ("sourceIPv4Address", "destinationIPv4Address"), ("sourceIPv6Address", "destinationIPv6Address")
STATISTICS = (
    "observationDomainId",
    "exportingProcessId",
    "observationTimeMilliseconds",
    "exportedMessageTotalCount",
    "exportedFlowRecordTotalCount",
    "exportedOctetTotalCount",
    "notSentFlowTotalCount",
    "notSentPacketTotalCount",
    "notSentOctetTotalCount",
    "repeatedMessageTotalCount",
    "spoiltMessageTotalCount",
    "foldedFlowTotalCount",
    "accountedFlowTotalCount",
    "clientOctetTotalCount",
    "engineOctetTotalCount",
    "collector",
)
# Counts what a full backlog dropped or rejected: one record per resource group.
NOT_SENT = (
    "observationDomainId",
    "exportingProcessId",
    "resourceGroup",
    "observationTimeMilliseconds",
    "notSentFlowTotalCount",
    "notSentOctetTotalCount",
)
CHECKSUM = ("messageScope", "messageMD5Checksum")

# For collectors that know IANA's elements only. The names use the closest of those: applicationName for the
# resource group, userName for the tenant, interfaceName for the engine.
PLAIN = (
    "flowId",
    "flowEndReason",
    "flowStartMilliseconds",
    "flowEndMilliseconds",
    "deltaFlowCount",
    "protocolIdentifier",
    "biflowDirection",
    "sourceTransportPort",
    "destinationTransportPort",
    "octetDeltaCount",
    "initiatorOctets",
    "responderOctets",
)
PLAIN_NAMES = ("applicationName", "userName", "interfaceName")

TEMPLATE_FIELDS = {  # kind of record: (its elements, how many of them are the scope)
    "flow4": (FLOW + IPV4 + NAMES, 0),
    "flow6": (FLOW + IPV6 + NAMES, 0),
    "statistics": (STATISTICS, 2),
    "not-sent": (NOT_SENT, 3),
    "checksum": (CHECKSUM, 1),
    "plain4": (PLAIN + IPV4 + PLAIN_NAMES, 0),
    "plain6": (PLAIN + IPV6 + PLAIN_NAMES, 0),
    "plain-statistics": (STATISTICS[:9], 2),
}
FULL_KINDS, PLAIN_KINDS = list(TEMPLATE_FIELDS)[:5], list(TEMPLATE_FIELDS)[5:]


def packer(names):
    """Returns one Struct for the elements of fixed length, which all precede the strings."""
    return struct.Struct("!" + "".join(ENCODINGS[ELEMENTS[name].type].letter for name in names))


def fixed(value, width):
    """Encodes a string in `width` octets, padded with zeros.

    A longer string is truncated and ends in a digest of the full string, so that two long strings stay
    distinct."""
    data = value.encode("utf-8", "replace")
    if len(data) > width:
        digest = blake2b(data, digest_size=DIGEST_SIZE // 2).hexdigest().encode()
        data = data[: width - DIGEST_SIZE].decode("utf-8", "ignore").encode() + digest
    return data.ljust(width, b"\0")


def text(value, max_size=255):
    """Encodes a string of variable length (RFC 7011 section 7).

    The length takes one octet, or 255 and two octets."""
    data = value.encode("utf-8", "replace")
    if len(data) > max_size:
        data = data[:max_size].decode("utf-8", "ignore").encode()
    return bytes((len(data),)) + data if len(data) < 255 else b"\xff" + struct.pack("!H", len(data)) + data
