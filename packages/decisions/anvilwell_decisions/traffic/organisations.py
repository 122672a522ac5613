"""Which organisation sends a request, and what is kept apart by it."""

import hashlib

from anvilwell_kernel import exceptions

_DIGEST_BYTES = 8
# No batch id that a caller may choose holds it.
_SEPARATOR = ":"


class Organisations:
    """The organisations of one configuration, by key.

    Where there are none, nobody needs a key.

    Parameters
    ----------
    organisations : iterable of facts.Organisation
        With their keys.
    """

    def __init__(self, organisations=()):
        self._by_key = {
            key: organisation
            for organisation in organisations
            for key in organisation.keys
        }
        self.are_known = bool(organisations)

    def sender(self, keys, is_open):
        """Return the `facts.Organisation` that holds a request's key.

        Parameters
        ----------
        keys : sequence of str
            All keys that the request brings.
        is_open : bool
            Whether the request needs none.

        Returns
        -------
        facts.Organisation or None
            None if no organisation is to be named.

        Raises
        ------
        exceptions.UnknownKey
            If a key is needed, and there is not just one that is known.
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


def ranked(route, organisation):
    """Return `route` with the priority that an organisation has there."""
    if organisation is None or organisation.priority is None:
        return route
    return route._replace(priority=organisation.priority)


def owned_id(organisation, batch_id):
    """Return the id under which an organisation's batch is kept.

    Two organisations may use one batch id. As their batches lie under
    different ids everywhere, one's call on the other's finds just what it
    would find if that had never been.

    Parameters
    ----------
    organisation : str
        Its name; "" for a batch that belongs to nobody in particular.
    batch_id : str
        The trainer's id.
    """
    if not organisation:
        return batch_id
    name = organisation.encode()
    digest = hashlib.blake2b(name, digest_size=_DIGEST_BYTES).hexdigest()
    return f"{digest}{_SEPARATOR}{batch_id}"


def owned(submission, organisation):
    """Return a `facts.Submission` as the batch of an organisation."""
    return submission._replace(
        batch_id=owned_id(organisation, submission.batch_id),
        organisation=organisation,
    )


def trainers_id(owned_id_):
    """Return the trainer's id of a batch that is kept as ``owned_id_``."""
    return owned_id_.rpartition(_SEPARATOR)[2]
