"""HTTP calls to the first entry that answers."""

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
    """Calls the operators' interface of several entries, in order.

    Parameters
    ----------
    entries : list of options.Address
        Entries to try, each at most once for a call.
    timeout_s : float
        Longest wait for one entry's answer.
    token : str
        Sent with each call; "" for none.
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
        """Return the connection that the command line asks for.

        Raises
        ------
        exceptions.BadRequest
            If an address or the token file is wrong.
        """
        try:
            entries = [
                option_types.parse_address(text) for text in options.entry
            ]
            path = options.token_file
            token = pathlib.Path(path).read_text().strip() if path else ""
        except (OSError, ValueError) as error:
            raise exceptions.BadRequest(
                f"--entry ip:port or --token_file is wrong: {error}"
            ) from error
        return cls(entries, options.timeout_s, token)

    def get(self, path, adapter, *, is_local=False):
        """Return the typed answer to a read; any entry may give it.

        With `is_local` an entry that doesn't know the thing is passed
        over: each entry knows only its own.
        """
        return self.send("GET", path, adapter, is_local=is_local)

    def send(
        self, method, path, adapter, *, query=None, body=None, is_local=False
    ):
        """Return the typed answer of the first entry that gives one.

        A call that may have run is sent to no second entry unless it
        is a GET.

        Raises
        ------
        exceptions.AnvilwellError
            The last entry's error, with its verdict.
        """
        target = f"{path}?{parse.urlencode(query)}" if query else path
        refusal = None
        for entry in self._entries:
            try:
                return self._ask(entry, method, target, adapter, body)
            except exceptions.AnvilwellError as error:
                refusal = error
            if not _may_go_on(refusal, method, is_local):
                break
        raise refusal

    def _ask(self, entry, method, target, adapter, body):
        try:
            answer = self._pool.request(
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
            raise _lost(entry, error) from error
        if web.REASON in answer.headers and answer.status >= 400:
            raise _refusal(entry, answer)
        return _typed(entry, answer, adapter)


def path(*names):
    """Return the path of a resource under ``/admin``."""
    return "/".join(["/admin", *(parse.quote(name, "") for name in names)])


def _may_go_on(error, method, is_local):
    """Return whether another entry may be asked, and may do better."""
    is_safe = method == "GET" or error.verdict is verdicts.Verdict.NOT_RUN
    is_passing = error.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
    is_elsewhere = is_local and error.status == http.HTTPStatus.NOT_FOUND
    return is_safe and (is_passing or is_elsewhere)


def _unreachable(entry, error):
    return exceptions.Refused(
        f"entry {entry} can't be reached: {error}; check --entry",
        reason=reasons.Refusal.CONNECT_FAILED,
    )


def _lost(entry, error):
    return exceptions.LinkLost(f"entry {entry} gave no whole answer: {error}")


def _typed(entry, answer, adapter):
    try:
        return adapter.validate_json(answer.data)
    except pydantic.ValidationError as error:
        raise exceptions.LinkLost(
            f"entry {entry} gave an unexpected answer (HTTP {answer.status});"
            f" is it an entry's admin address? {error}"
        ) from error


def _refusal(entry, answer):
    try:
        detail = _ERROR.validate_json(answer.data)["error"]
        refusal = exceptions.Refused(
            f"entry {entry}: {detail['message']}",
            reason=reasons.Refusal(detail["reason"]),
            verdict=verdicts.Verdict(detail["verdict"]),
            retry_after=detail["retry_after_s"],
        )
    except ValueError as error:
        return _lost(entry, error)
    refusal.status = answer.status
    return refusal
