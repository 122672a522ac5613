"""Checks callers' requests: their route, their key and its organisation."""

from anvilwell_decisions.traffic import organisations
from anvilwell_decisions.traffic import residency
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons

# Longest time until an entry in contact with the store applies a changed
# configuration, in seconds; see `presence.MAX_ANSWER_AGE_S`. A revoked key may
# be accepted for this long after the store's last answer, and what an older
# configuration lacks may exist by now.
MAX_CONFIGURATION_DELAY_S = 2.0
# Errors that state that the configuration does not allow a request.
_DENIALS = (
    exceptions.NotFound,
    exceptions.UnknownKey,
    exceptions.RegionNotAllowed,
)


class CallerAdmission:
    """Checks the keys of requests against the configuration in force.

    Parameters
    ----------
    dialect : dialect.Dialect
        Reads the keys from the headers of requests.
    configuration : configuration.ConfigurationFollower
        The routes and organisations in force.
    presence : presence.Presence
        Says how long ago the store last answered.
    settings : config.OrganisationsSection
        Says whether keys are refused while the store does not answer.
    """

    def __init__(self, dialect, configuration, presence, settings):
        self._dialect = dialect
        self._configuration = configuration
        self._presence = presence
        self._settings = settings

    def admit(self, request):
        """Return the route of `request`, and the request to forward.

        The returned request names its organisation and has no key.

        Raises
        ------
        exceptions.NotFound
            If no route matches.
        exceptions.UnknownKey
            If the route requires a key and the request has no known one.
        exceptions.RegionNotAllowed
            If no region is allowed by both its route and its organisation.
        exceptions.Refused
            Instead of one of these, if the configuration in force here may be
            out of date.
        """
        try:
            route, sender = self._find_route(request)
        except _DENIALS:
            self._check_current()
            raise
        route = organisations.with_priority(route, sender)
        return route, self._anonymous(request, sender)

    def _find_route(self, request):
        """Return the route of `request`, and its `facts.Organisation`."""
        route = self._configuration.routes.find(request.host, request.path)
        if route is None:
            raise exceptions.NotFound("no route matches this path")
        sender = self._sender(request, route.is_open)
        residency.check(route, sender)
        return route, sender

    def _check_current(self):
        """Refuse the request if a newer configuration may allow it.

        Callers don't repeat a request that was denied.
        """
        if self._configuration.age_s > MAX_CONFIGURATION_DELAY_S:
            raise _uncertain(
                "a newer configuration may not have reached this VM yet"
            ) from None

    def admit_batch_call(self, batch_call, request):
        """Return a `dialect.BatchCall` with the full id of its batch.

        The id is qualified by the caller's organisation, so that a caller
        reaches only the batches of its own organisation.

        Raises
        ------
        exceptions.UnknownKey
            If the request requires a key and has no known one.
        exceptions.Refused
            If the keys in force here may be out of date.
        """
        is_open = self._configuration.routes.has_open_batches(request.host)
        try:
            sender = self._sender(request, is_open)
        except exceptions.UnknownKey:
            self._check_current()
            raise
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
                raise _uncertain(
                    "the key may not have reached this VM yet"
                ) from None
            raise

    def _check_confirmed(self):
        """Refuse the request if cached organisation keys may be outdated.

        They may be once the store has not answered for too long, as a key may
        have been revoked since. Applies only with strict revocation.
        """
        limit_s = self._settings.revocation_limit_s - MAX_CONFIGURATION_DELAY_S
        is_late = self._presence.silence_s() > limit_s
        if self._settings.strict_revocation and is_late:
            raise _uncertain(
                "keys can't be confirmed: the store does not answer"
            )

    def _anonymous(self, request, sender):
        return request._replace(
            headers=self._dialect.without_identity(request.headers),
            organisation=sender.name if sender else "",
        )


def _uncertain(message):
    return exceptions.Refused(
        message, reason=reasons.Refusal.CONFIGURATION_UNCERTAIN
    )
