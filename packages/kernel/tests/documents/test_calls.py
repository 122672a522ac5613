"""Non-idempotent calls are recognised in any spelling of their path."""

import pytest

from anvilwell_kernel import documents

PLAIN_DOCUMENT = (
    "[service]\nname = stops-app\nkind = plain\n"
    "[calls]\nnon_idempotent = POST /notices, PUT /changes/*\n"
)


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("POST", "/notices", False),
        ("post", "//notices/?to=school", False),
        ("POST", "/%6eotices", False),
        ("POST", "/x/../Notices", False),
        ("PUT", "/changes/7/bus", False),
        ("GET", "/notices", True),
        ("POST", "/notices-read", True),
        ("PUT", "/notices", True),
    ],
)
def test_is_idempotent(method, path, expected):
    calls = documents.parse(PLAIN_DOCUMENT, "stops.ini").calls

    assert calls.is_idempotent(method, path) is expected
