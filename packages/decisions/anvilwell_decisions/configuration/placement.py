"""Chooses relays, watchers and resolvers by hash, without any message."""

import itertools
import typing

import xxhash


def rank(subject, vm_ids):
    """Return `vm_ids` by rendezvous hash for `subject`, best first."""
    return sorted(
        vm_ids,
        key=lambda vm_id: xxhash.xxh3_64_intdigest(
            f"{subject}\0{vm_id}".encode()
        ),
    )


class Branch(typing.NamedTuple):
    """The targets in one failure domain; the first one is the relay."""

    failure_domain: str
    targets: list


def branches(subject, instances):
    """Group `instances` by failure domain, with the relay of each first.

    Returns
    -------
    list of Branch
        Sorted by failure domain. The relay depends on `subject`, which
        distributes the load.
    """

    def domain_of(instance):
        return instance.failure_domain

    grouped = itertools.groupby(sorted(instances, key=domain_of), domain_of)
    return [
        Branch(domain, _ranked(subject, list(members)))
        for domain, members in grouped
    ]


def _ranked(subject, members):
    by_vm_id = {one.vm_id: one for one in members}
    return [by_vm_id[vm_id] for vm_id in rank(subject, by_vm_id)]
