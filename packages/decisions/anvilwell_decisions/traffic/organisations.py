"""Identifies a request's organisation; keeps organisations' batches apart."""

import hashlib

from anvilwell_kernel import exceptions

_DIGEST_BYTES = 8
# Batch ids chosen by callers can't contain this character.
_SEPARATOR = ":"


class Organisations:
    """The organisations of one configuration, by key.

    If the configuration has none, no request needs a key.

    Parameters
    ----------
    organisations : iterable of facts.Organisation
        The organisations with their keys.
    """

    def __init__(self, organisations=()):
        self._by_key = {
            key: organisation
            for organisation in organisations
            for key in organisation.keys
        }
        self.are_known = bool(organisations)

    def sender(self, keys, is_open):
        """Return the `facts.Organisation` that a request's key belongs to.

        Parameters
        ----------
        keys : sequence of str
            All keys that the request carries.
        is_open : bool
            Whether the request needs no key.

        Returns
        -------
        facts.Organisation or None
            None if the request has no known key and needs none.

        Raises
        ------
        exceptions.UnknownKey
            If a key is needed, unless the request carries exactly one key and
            an organisation has this key.
        """
        if not self.are_known:
            return None
        found = self._by_key.get(keys[0]) if len(keys) == 1 else None
        if found is None and not is_open:
            count = len(keys)
            raise exceptions.UnknownKey(
                "no organisation has this key"
                if count == 1
                else f"one key is needed, not {count}"
            )
        return found


def with_priority(route, organisation):
    """Return `route` with the organisation's priority, if it has one."""
    if organisation is None or organisation.priority is None:
        return route
    return route._replace(priority=organisation.priority)


def owned_id(organisation, batch_id):
    """Return the id under which an organisation's batch is stored.

    Two organisations may use the same batch id. Their batches are stored under
    different ids everywhere, so a call by one for the other's batch gets the
    same response as if that batch didn't exist.

    Parameters
    ----------
    organisation : str
        Name of the organisation; "" for a batch without one.
    batch_id : str
        The trainer's id of the batch.
    """
    if not organisation:
        return batch_id
    name = organisation.encode()
    digest = hashlib.blake2b(name, digest_size=_DIGEST_BYTES).hexdigest()
    return f"{digest}{_SEPARATOR}{batch_id}"


def owned(submission, organisation):
    """Return a `facts.Submission` with its organisation and stored id."""
    return submission._replace(
        batch_id=owned_id(organisation, submission.batch_id),
        organisation=organisation,
    )


def unowned_id(owned_id_):
    """Return the trainer's id of the batch that is stored as ``owned_id_``."""
    return owned_id_.rpartition(_SEPARATOR)[2]
