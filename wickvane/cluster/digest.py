"""The anti-entropy digest: one checksum for each bucket of living members, compared to find differing
buckets."""

from wickvane.cluster.member import BUCKET_COUNT, DEAD_STATES, Member, member_hash

SUM_SIZE = 4  # octets
SUM_MASK = (1 << 8 * SUM_SIZE) - 1
DIGEST_SIZE = BUCKET_COUNT * SUM_SIZE


class BucketDigest:
    """For each bucket the XOR of the hashes of its living members in their current incarnations."""

    def __init__(self):
        self.sums = [0] * BUCKET_COUNT
        self._encoded: bytes | None = None  # cached until the next change

    def toggle(self, member: Member) -> None:
        """Adds a living member to its bucket's sum, or removes it. Does nothing for a dead member."""
        if member.state not in DEAD_STATES:
            value = member_hash(member.name, member.epoch, member.incarnation)
            self.sums[member.bucket] ^= value & SUM_MASK
            self._encoded = None

    def fill(self, sums: list[int]) -> None:
        """Replaces all sums."""
        self.sums = list(sums)
        self._encoded = None

    def encode(self) -> bytes:
        """Returns the sums as they are sent."""
        if self._encoded is None:
            self._encoded = b"".join(value.to_bytes(SUM_SIZE) for value in self.sums)
        return self._encoded

    def differing_buckets(self, encoded: bytes) -> list[int]:
        """Returns the buckets whose sums differ from those that another member sent."""
        own = self.encode()
        if encoded == own:
            return []
        starts = range(0, DIGEST_SIZE, SUM_SIZE)
        return [
            bucket
            for bucket, start in enumerate(starts)
            if encoded[start : start + SUM_SIZE] != own[start : start + SUM_SIZE]
        ]
