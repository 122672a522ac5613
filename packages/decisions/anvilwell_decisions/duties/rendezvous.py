"""Which of several VMs has a duty, seen alike by all that know them.

Rendezvous hashing: a VM that goes leaves its own duties to others and
moves no other duty, and several duties are spread over the VMs.
"""

import xxhash


def choose_vm(duty, vm_ids):
    """Return the VM that has `duty`, None if there is none."""
    return max(vm_ids, key=lambda vm_id: _weight(duty, vm_id), default=None)


def rank_vms(duty, vm_ids):
    """Return `vm_ids` in the order in which they should have `duty`."""
    return sorted(vm_ids, key=lambda vm_id: _weight(duty, vm_id), reverse=True)


def _weight(duty, vm_id):
    # The id decides between VMs whose digests are the same.
    return xxhash.xxh3_64_intdigest(f"{duty}\0{vm_id}".encode()), vm_id
