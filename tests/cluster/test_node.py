"""One node: the bounds on its messages, and its rounds after it has left."""

from cluster.helpers import ignore_event, report
from wickvane.cluster.digest import DIGEST_SIZE
from wickvane.cluster.gossip import entry_of
from wickvane.cluster.member import ALIVE, SUSPECT
from wickvane.cluster.message_sender import SEND_BURST, SEND_RATE
from wickvane.cluster.messages import MAX_DATAGRAM_SIZE, Message, MessageKind
from wickvane.cluster.node import Node
from wickvane.cluster.wire import Codec
from wickvane.rehearsal.peers import Fleet
from wickvane.units import TICKS_PER_SECOND


class RecordingTransport:
    """A transport that records the messages."""

    def __init__(self):
        self.messages: list[Message] = []

    def send(self, address: str, message: Message) -> None:
        self.messages.append(message)


def test_message_sizes_and_the_sending_rate_are_bounded():
    codec = Codec("c" * 64, [b"k" * 20])
    transport = RecordingTransport()
    node = Node(
        0,
        "n" * 64,
        1 << 62,
        "[2001:db8::1234:5678:9abc:def0]:65535",
        ["1.1.1.1:1"],
        5,
        1,
        ignore_event,
    )
    for n in range(400):
        entry = report(
            f"{n:064}",
            1 << 62,
            f"[2001:db8::1234:5678:9abc:{n:x}]:65535",
            n,
            ALIVE if n % 3 else SUSPECT,
            "b" * 64,
        )
        node.probing.apply_entry(0, entry)
    now = 0
    while now < 20 * TICKS_PER_SECOND:
        now = node.run_round(now, [], transport)
    message = Message(
        transport.messages[0].kind,
        f"{3:064}",
        1 << 62,
        0,
        1 << 62,
        1,
        2,
        1,
        None,
        bytes(DIGEST_SIZE),
        [report(f"{3:064}", 1 << 62, "x:1", 3, ALIVE)],
    )
    for n in range(2_000):
        node.run_round(now, [message._replace(kind=MessageKind(n % 8), counter=n + 1)], transport)
    sizes = [len(codec.seal(sent)) for sent in transport.messages]
    assert max(sizes) <= MAX_DATAGRAM_SIZE and len(sizes) > 100
    assert len(sizes) <= SEND_BURST + SEND_RATE * 21 and node.rejected["sent-too-much"]


def test_a_member_that_has_left_still_answers_and_has_no_other_rounds():
    fleet = Fleet(3, 1, settled=True)
    fleet.run(TICKS_PER_SECOND)
    node = fleet.members[0].node
    transport = RecordingTransport()
    node.leave(fleet.now, transport)
    for _ in range(20):
        next_at = node.run_round(fleet.now + 30 * TICKS_PER_SECOND, [], transport)
        assert next_at >= fleet.now + 31 * TICKS_PER_SECOND
    before = len(transport.messages)
    other = fleet.members[1].node.table.local
    ping = Message(
        MessageKind.PING,
        "n1",
        other.epoch,
        1 << 20,
        node.table.local.epoch,
        1,
        1,
        5,
        None,
        b"",
        [entry_of(other)],
    )
    node.run_round(fleet.now + 30 * TICKS_PER_SECOND, [ping], transport)
    answers = transport.messages[before:]
    assert [message.kind for message in answers] == [MessageKind.ACK] and answers[-1].sequence == 5
