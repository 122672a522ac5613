"""The member table: merges records by rank and computes digests."""

import xxhash

from anvilwell_kernel.messages import membership as messages

BUCKETS = 64


class MemberTable:
    """Keeps the highest-ranked record of each member.

    Merging is commutative, associative and idempotent, so loss,
    reordering and duplication of messages only delay agreement.
    """

    def __init__(self):
        self.members_by_id = {}
        self._hashes = [0] * BUCKETS
        self._ids_by_bucket = [set() for _ in range(BUCKETS)]

    def merge(self, member):
        """Store `member` if it outranks the stored record; return if so."""
        known = self.members_by_id.get(member.vm_id)
        if known and known.rank >= member.rank:
            return False
        bucket = _bucket(member.vm_id)
        self._hashes[bucket] ^= _hash(known) ^ _hash(member)
        self._ids_by_bucket[bucket].add(member.vm_id)
        self.members_by_id[member.vm_id] = member
        return True

    def remove(self, vm_id):
        """Remove a member."""
        bucket = _bucket(vm_id)
        self._hashes[bucket] ^= _hash(self.members_by_id.pop(vm_id))
        self._ids_by_bucket[bucket].discard(vm_id)

    def digest(self):
        """Return one hash for each bucket."""
        return list(self._hashes)

    def differing(self, hashes):
        """Return the buckets whose hash differs from that in `hashes`."""
        pairs = zip(self._hashes, hashes, strict=True)
        return [i for i, (ours, theirs) in enumerate(pairs) if ours != theirs]

    def members_in(self, bucket):
        """Return the members in `bucket`."""
        ids = sorted(self._ids_by_bucket[bucket])
        return [self.members_by_id[vm_id] for vm_id in ids]


def _bucket(vm_id):
    return xxhash.xxh64_intdigest(vm_id.encode()) % BUCKETS


def _hash(member):
    """Hash a record; a dead member, removed later, hashes as absent."""
    if member is None or member.state is messages.State.DEAD:
        return 0
    text = f"{member.vm_id}/{member.incarnation}/{int(member.state)}"
    return xxhash.xxh64_intdigest(text.encode())
