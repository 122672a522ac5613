"""Lets in what callers may send, and says for which organisation."""

from anvilwell_decisions.traffic import organisations
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons

# A change of the configuration is in force within so long at an entry that
# the store answers, in seconds; see `presence.MAX_ANSWER_AGE_S`. A key that
# was taken away may be in use for this much longer than the last answer.
MAX_CONFIGURATION_DELAY_S = 2.0


class CallerAdmission:
    """Checks the keys of requests against the configuration in force.

    Parameters
    ----------
    dialect : dialect.Dialect
        Finds the keys.
    configuration : configuration.ConfigurationFollower
        The routes and organisations in force.
    presence : presence.Presence
        Says how old they may be.
    settings : config.OrganisationsSection
        What holds while they can't be confirmed.
    """

    def __init__(self, dialect, configuration, presence, settings):
        self._dialect = dialect
        self._configuration = configuration
        self._presence = presence
        self._settings = settings

    def admit(self, request):
        """Return the route of `request`, and the request as it goes on.

        It names its organisation and holds no key any more.

        Raises
        ------
        exceptions.NotFound
            If no route takes it.
        exceptions.UnknownKey
            If its route wants a key and it has none that is known.
        exceptions.Refused
            If that is not certain.
        """
        route = self._configuration.routes.find(request.host, request.path)
        if route is None:
            raise exceptions.NotFound("no route takes this path")
        sender = self._sender(request, route.is_open)
        route = organisations.ranked(route, sender)
        return route, self._anonymous(request, sender)

    def admit_batch_call(self, batch_call, request):
        """Return a `dialect.BatchCall` on the batch that it is about.

        Only batches of the caller's organisation can be meant.

        Raises
        ------
        exceptions.UnknownKey
            If the request has no key that is known, and needs one.
        exceptions.Refused
            If that is not certain.
        """
        is_open = self._configuration.routes.has_open_batches(request.host)
        sender = self._sender(request, is_open)
        name = sender.name if sender else ""
        batch_id = organisations.owned_id(name, batch_call.batch_id)
        return batch_call._replace(batch_id=batch_id)

    def _sender(self, request, is_open):
        """Return the `facts.Organisation` that sends a request, or None."""
        known = self._configuration.organisations
        keys = self._dialect.keys(request.headers)
        if known.are_known and not is_open:
            self._check_confirmed()
        try:
            return known.sender(keys, is_open)
        except exceptions.UnknownKey:
            if not self._presence.can_confirm_ownership():
                raise _uncertain("this VM may not know the key yet") from None
            raise

    def _check_confirmed(self):
        """Refuse while a key may have been taken away too long ago."""
        limit_s = self._settings.revocation_limit_s - MAX_CONFIGURATION_DELAY_S
        is_late = self._presence.answer_age_s() > limit_s
        if self._settings.strict_revocation and is_late:
            raise _uncertain("keys can't be confirmed: the store is silent")

    def _anonymous(self, request, sender):
        return request._replace(
            headers=self._dialect.anonymous(request.headers),
            organisation=sender.name if sender else "",
        )


def _uncertain(message):
    return exceptions.Refused(
        message, reason=reasons.Refusal.CONFIGURATION_UNCERTAIN
    )
