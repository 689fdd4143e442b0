"""The information elements of a record: IANA's numbers, our own under the enterprise number, and their types.

Sources: RFC 7012 and the IANA registry "IPFIX Information Elements"; RFC 5103 for the reverse direction,
whose elements stand under the reverse enterprise number 29305, or with bit 0x4000 of the id set in an
enterprise's own space (its section 6.2). The own ones are listed in docs/flows.md; ids are never given a
second meaning.
"""

import struct
from hashlib import blake2b
from typing import NamedTuple

REVERSE_PEN, REVERSE_BIT = 29_305, 0x4000
VARIABLE, DIGEST = 0xFFFF, 8
OWN = -1  # stands for the enterprise number that the parts document names


class Element(NamedTuple):
    """An information element of IPFIX."""

    name: str
    number: int
    enterprise: int  # 0: IANA's own
    type: str  # a key of FORMS
    length: int


class Form(NamedTuple):
    """How values of a type stand in a record: a letter of `struct` where the length is fixed."""

    length: int
    letter: str


FORMS = {
    "unsigned8": Form(1, "B"),
    "unsigned16": Form(2, "H"),
    "unsigned32": Form(4, "I"),
    "unsigned64": Form(8, "Q"),
    "dateTimeMilliseconds": Form(8, "Q"),
    "ipv4Address": Form(4, "4s"),
    "ipv6Address": Form(16, "16s"),
    "md5": Form(16, "16s"),
    "string": Form(VARIABLE, ""),
    "octetArray": Form(VARIABLE, ""),
}


def table(rows):
    return {
        name: Element(name, number, enterprise, type, FORMS[type].length)
        for name, number, enterprise, type in rows
    }


ELEMENTS = table(
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
        # The project's own.
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
# How many of the fields of an options template are its scope.
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
# Where it is counted what a full backlog let go of: one record a resource group.
NOT_SENT = (
    "observationDomainId",
    "exportingProcessId",
    "resourceGroup",
    "observationTimeMilliseconds",
    "notSentFlowTotalCount",
    "notSentOctetTotalCount",
)
CHECKSUM = ("messageScope", "messageMD5Checksum")

# For collectors that know no elements but IANA's: the names stand under the nearest of those, applicationName
# for the resource group, userName for the tenant, interfaceName for the engine.
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

SHAPES = {  # what: (its elements, how many of them are scope)
    "flow4": (FLOW + IPV4 + NAMES, 0),
    "flow6": (FLOW + IPV6 + NAMES, 0),
    "statistics": (STATISTICS, 2),
    "not-sent": (NOT_SENT, 3),
    "checksum": (CHECKSUM, 1),
    "plain4": (PLAIN + IPV4 + PLAIN_NAMES, 0),
    "plain6": (PLAIN + IPV6 + PLAIN_NAMES, 0),
    "plain-statistics": (STATISTICS[:9], 2),
}
FULL_KINDS, PLAIN_KINDS = list(SHAPES)[:5], list(SHAPES)[5:]


def packer(names):
    """One Struct for the leading elements of fixed length, all of which stand ahead of the strings."""
    return struct.Struct("!" + "".join(FORMS[ELEMENTS[name].type].letter for name in names))


def fixed(value, width):
    """A string of `width` octets, filled up with zeros. One that is longer ends in a digest of the whole, so
    that two long ones stay two."""
    data = value.encode("utf-8", "replace")
    if len(data) > width:
        mark = blake2b(data, digest_size=DIGEST // 2).hexdigest().encode()
        data = data[: width - DIGEST].decode("utf-8", "ignore").encode() + mark
    return data.ljust(width, b"\0")


def text(value, most=255):
    """A string of variable length (RFC 7011 section 7): one octet of length, or 255 and two more."""
    data = value.encode("utf-8", "replace")
    if len(data) > most:
        data = data[:most].decode("utf-8", "ignore").encode()
    return bytes((len(data),)) + data if len(data) < 255 else b"\xff" + struct.pack("!H", len(data)) + data
