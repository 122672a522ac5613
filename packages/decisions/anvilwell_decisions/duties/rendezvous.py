"""Assigns duties to VMs by rendezvous hashing.

All processes with the same list of VMs compute the same assignment. When a VM
leaves, only its own duties move to other VMs. Several duties are spread over
the VMs.
"""

import xxhash


def choose_vm(duty, vm_ids):
    """Return the VM that has `duty`, None if there are no VMs."""
    return max(vm_ids, key=lambda vm_id: _weight(duty, vm_id), default=None)


def rank_vms(duty, vm_ids):
    """Return `vm_ids` in the order in which they should take `duty`."""
    return sorted(vm_ids, key=lambda vm_id: _weight(duty, vm_id), reverse=True)


def _weight(duty, vm_id):
    # The id decides between VMs with equal digests.
    return xxhash.xxh3_64_intdigest(f"{duty}\0{vm_id}".encode()), vm_id
