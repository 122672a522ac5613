"""HTTP calls to the first entry that responds."""

import http
import pathlib
from urllib import parse

import pydantic
import urllib3

from anvilwell_kernel.config import options as option_types
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import errors
from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts
from anvilwell_kernel import web

_ERROR = pydantic.TypeAdapter(errors.ErrorBody)


class Connection:
    """Calls the admin interface of several entries, in order.

    Parameters
    ----------
    entries : list of options.Address
        Entries to try, each at most once per call.
    timeout_s : float
        Timeout for connecting to an entry, and for each read from it.
    token : str
        Bearer token sent with each call; "" for none.
    """

    def __init__(self, entries, timeout_s, token=""):
        self._entries = entries
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(connect=timeout_s, read=timeout_s),
        )

    @classmethod
    def from_options(cls, options):
        """Return a connection with the command line's options.

        Raises
        ------
        exceptions.BadRequest
            If an address is malformed or the token file is unreadable.
        """
        try:
            entries = [
                option_types.parse_address(text) for text in options.entry
            ]
            path = options.token_file
            token = pathlib.Path(path).read_text().strip() if path else ""
        except (OSError, ValueError) as error:
            raise exceptions.BadRequest(
                f"--entry ip:port or --token_file is invalid: {error}"
            ) from error
        return cls(entries, options.timeout_s, token)

    def get(self, path, adapter, *, is_local=False):
        """Return the validated response to a GET request.

        With `is_local`, a 404 response makes the call go on to the next
        entry, because the resource is kept only by one entry, such as
        the events of a request that it handled.
        """
        return self.send("GET", path, adapter, is_local=is_local)

    def send(
        self, method, path, adapter, *, query=None, body=None, is_local=False
    ):
        """Return the validated response of the first entry that succeeds.

        A call that may have run is not sent to another entry unless it
        is a GET.

        Raises
        ------
        exceptions.AnvilwellError
            The error of the last entry that was tried.
        """
        target = f"{path}?{parse.urlencode(query)}" if query else path
        refusal = None
        for entry in self._entries:
            try:
                return self._request(entry, method, target, adapter, body)
            except exceptions.AnvilwellError as error:
                refusal = error
            if not _may_try_next(refusal, method, is_local):
                break
        raise refusal

    def _request(self, entry, method, target, adapter, body):
        try:
            response = self._pool.request(
                method,
                f"http://{entry}{target}",
                body=body,
                headers=self._headers,
            )
        except urllib3.exceptions.NewConnectionError as error:
            raise _unreachable(entry, error) from error
        except urllib3.exceptions.ConnectTimeoutError as error:
            raise _unreachable(entry, error) from error
        except urllib3.exceptions.HTTPError as error:
            raise _link_lost(entry, error) from error
        if web.REASON in response.headers and response.status >= 400:
            raise _decode_refusal(entry, response)
        return _decode(entry, response, adapter)


def path(*names):
    """Return the path of a resource under ``/admin``."""
    return "/".join(["/admin", *(parse.quote(name, "") for name in names)])


def _may_try_next(error, method, is_local):
    """Return whether the next entry may be tried and could succeed."""
    is_safe = method == "GET" or error.verdict is verdicts.Verdict.NOT_RUN
    is_server_error = error.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
    may_be_elsewhere = is_local and error.status == http.HTTPStatus.NOT_FOUND
    return is_safe and (is_server_error or may_be_elsewhere)


def _unreachable(entry, error):
    return exceptions.Refused(
        f"entry {entry} can't be reached: {error}; check --entry",
        reason=reasons.Refusal.CONNECT_FAILED,
    )


def _link_lost(entry, error):
    return exceptions.LinkLost(
        f"entry {entry} sent no complete response: {error}"
    )


def _decode(entry, response, adapter):
    try:
        return adapter.validate_json(response.data)
    except pydantic.ValidationError as error:
        raise exceptions.LinkLost(
            f"entry {entry} sent an unexpected response (HTTP"
            f" {response.status}); check that --entry is an entry's admin"
            f" address: {error}"
        ) from error


def _decode_refusal(entry, response):
    try:
        detail = _ERROR.validate_json(response.data)["error"]
        refusal = exceptions.Refused(
            f"entry {entry}: {detail['message']}",
            reason=reasons.Refusal(detail["reason"]),
            verdict=verdicts.Verdict(detail["verdict"]),
            retry_after=detail["retry_after_s"],
        )
    except ValueError as error:
        return _link_lost(entry, error)
    refusal.status = response.status
    return refusal
