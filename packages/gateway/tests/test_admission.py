"""Tests what callers are told while the configuration may be out of date."""

import types

from anvilwell_decisions.traffic import facts
from anvilwell_decisions.traffic import organisations
from anvilwell_decisions.traffic import table
from anvilwell_gateway import admission
from anvilwell_gateway import config
from anvilwell_kernel import exceptions
import pytest

ROUTES = (
    facts.Route("keyed", "h", "/keyed/", (), False, True),
    facts.Route("far", "h", "/far/", (), False, True, is_open=True)._replace(
        allowed_regions=frozenset({"north"})
    ),
)
ORGANISATIONS = (
    facts.Organisation("south", ("south-key",), 1, frozenset({"south"})),
)
CURRENT_S = 1.9
OUTDATED_S = 2.1


class _Dialect:
    """Reads the key from the headers."""

    def keys(self, headers):
        return [value for name, value in headers if name == "key"]

    def without_identity(self, headers):
        return headers


def _admit(path, age_s, key="south-key"):
    configuration = types.SimpleNamespace(
        routes=table.RouteTable(ROUTES),
        organisations=organisations.Organisations(ORGANISATIONS),
        age_s=age_s,
    )
    presence = types.SimpleNamespace(
        can_confirm_ownership=lambda: True, silence_s=lambda: 0.0
    )
    section = config.OrganisationsSection(False, 5.0)
    checked = admission.CallerAdmission(
        _Dialect(), configuration, presence, section
    )
    headers = (("key", key),)
    request = types.SimpleNamespace(host="h", path=path, headers=headers)
    return checked.admit(request)


DENIALS = [
    ("/new/1", "south-key", exceptions.NotFound),
    ("/keyed/1", "new-key", exceptions.UnknownKey),
    ("/far/1", "south-key", exceptions.RegionNotAllowed),
]


@pytest.mark.parametrize(("path", "key", "denial"), DENIALS)
def test_what_the_newest_configuration_lacks_is_denied(path, key, denial):
    with pytest.raises(denial):
        _admit(path, CURRENT_S, key)


@pytest.mark.parametrize(("path", "key", "denial"), DENIALS)
@pytest.mark.parametrize("age_s", [OUTDATED_S, float("inf")])
def test_nothing_is_denied_by_a_configuration_that_may_be_old(
    path, key, denial, age_s
):
    """Guards against a 404 for a route that was added seconds ago.

    Callers repeat a request that was refused, at another entry, but none that
    was denied.
    """
    with pytest.raises(exceptions.Refused) as caught:
        _admit(path, age_s, key)
    assert caught.value.reason == "configuration-uncertain"
