"""The UDP socket of a member: receives and verifies datagrams, signs and sends messages."""

import select
import socket
import time
from collections import Counter

from wickvane.cluster.addresses import parse_address
from wickvane.cluster.messages import MAX_DATAGRAM_SIZE, Message
from wickvane.cluster.wire import Codec, DatagramError
from wickvane.errors import ConfigError

MAX_DATAGRAMS_PER_READ = 128  # datagrams that one receive() reads
MAX_WAIT_S = 0.5
MIN_WAIT_MS = 1
FLOOD_THRESHOLD = 32  # rejected datagrams of one receive() above which the next one is delayed
FLOOD_PAUSE_S = 0.005
RECEIVE_BUFFER_SIZE = 1 << 20  # octets


class UdpTransport:
    """Sends and receives messages by one UDP socket.

    address_cache_size: the number of parsed addresses that are cached. rejected: the numbers of datagrams
    rejected since the last take_rejected(), by reason. lost_sends: the number of messages that could not be
    sent."""

    def __init__(self, codec: Codec, address_cache_size: int):
        self.codec = codec
        self.rejected: Counter[str] = Counter()
        self.lost_sends = 0
        self._socket: socket.socket | None = None
        self._family: int | None = None
        self._poll = select.poll()
        self._addresses: dict[str, tuple[str, int]] = {}
        self._address_cache_size = address_cache_size

    def open(self, host: str, port: int) -> None:
        """Binds the socket. Raises ConfigError if that fails."""
        self._family = socket.AF_INET6 if ":" in host else socket.AF_INET
        try:
            self._socket = socket.socket(self._family, socket.SOCK_DGRAM)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_SIZE)
            self._socket.bind((host, port))
            self._socket.setblocking(False)
            self._poll.register(self._socket, select.POLLIN)
        except OSError as error:
            raise ConfigError(f"peers: cannot listen on {host}:{port}: {error.strerror}", 1) from None

    def receive(self, wait_s: float) -> list[Message]:
        """Waits for datagrams, and returns the messages of up to MAX_DATAGRAMS_PER_READ of them."""
        messages = []
        rejected_count = 0
        self._poll.poll(max(MIN_WAIT_MS, min(wait_s, MAX_WAIT_S) * 1000))
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data = self._socket.recv(MAX_DATAGRAM_SIZE + 1)
            except BlockingIOError:
                break
            except OSError:  # a host rejected an earlier datagram
                continue
            try:
                messages.append(self.codec.open(data))
            except DatagramError as error:
                rejected_count += 1
                self.rejected[error.reason] += 1
        if rejected_count > FLOOD_THRESHOLD:
            time.sleep(FLOOD_PAUSE_S)
        return messages

    def take_rejected(self) -> Counter[str]:
        """Returns the numbers of datagrams rejected since the last call, by reason."""
        rejected = self.rejected
        self.rejected = Counter()
        return rejected

    def send(self, address: str, message: Message) -> None:
        """Sends a message. One that cannot be sent is only counted, like one that the network loses."""
        try:
            self._socket.sendto(self.codec.seal(message), self._resolve(address))
        except (OSError, ValueError):
            self.lost_sends += 1

    def _resolve(self, text: str) -> tuple[str, int]:
        address = self._addresses.get(text)
        if address is None:
            address = parse_address(text)
            if len(self._addresses) > self._address_cache_size:
                self._addresses.clear()
            # Only numeric addresses are accepted, since resolving a host name would block.
            socket.inet_pton(self._family, address[0])
            self._addresses[text] = address
        return address
