"""The attributes of errors."""

from anvilwell_kernel import exceptions


def test_configuration_error_keeps_the_problems_of_a_generator():
    error = exceptions.ConfigurationError(word for word in ("one", "two"))
    assert error.problems == ("one", "two")
    assert error.message == "one\ntwo"
