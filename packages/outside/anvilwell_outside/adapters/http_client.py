"""HTTP calls with a verdict on every error and a bound on every body."""

import time

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts
import urllib3

from anvilwell_outside.adapters import responses
from anvilwell_outside.adapters import strict_connection

MAX_BODY_BYTES = 4 << 20
CONNECTIONS = 64
CONNECT_TIMEOUT_S = 1.0
MIN_TIMEOUT_S = 0.001
_READ_BYTES = 1 << 16

_NOT_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.LocationValueError,
)


class HttpClient:
    """Kept-alive connections to one system at one or more addresses.

    Parameters
    ----------
    *addresses : str or Address
        ``ip:port`` of each server; the next one is tried when a
        connection to one can't be made, and kept to from then on.
    connections : int
        Idle connections that are kept; more may be open at a time.

    Notes
    -----
    It never repeats a call that it has begun to send and follows no
    redirect. A call whose connection could not be made has verdict
    ``NOT_RUN``; whatever fails later, also on a kept-alive connection
    that the other side had closed, has verdict ``MAY_HAVE_RUN``.
    """

    def __init__(self, *addresses, connections=CONNECTIONS):
        self._pools = [_pool(address, connections) for address in addresses]
        self._preferred = 0

    @property
    def address(self):
        """The ``ip:port`` that is tried first."""
        pool = self._pools[self._preferred]
        return f"{pool.host}:{pool.port}"

    def close(self):
        """Close the idle connections."""
        for pool in self._pools:
            pool.close()

    def open(
        self,
        method,
        path,
        *,
        body=None,
        headers=None,
        timeout_s,
        use_new_connection=False,
    ):
        """Send a call and return urllib3's response, body unread.

        Parameters
        ----------
        method, path : str
            The call.
        body : bytes, optional
            What to send.
        headers : mapping, optional
            Headers to send.
        timeout_s : float
            Longest wait for the connection and for each read.
        fresh : bool
            Use a new connection, for this call alone.

        Raises
        ------
        exceptions.BackendFailed, exceptions.Timeout
            With the verdict of the failure.
        """
        first = self._preferred
        count = len(self._pools)
        for index in range(first, first + count):
            self._preferred = index % count
            pool = self._pools[self._preferred]
            if use_new_connection:
                pool = _pool(self.address, 1)
            try:
                return _send(pool, method, path, body, headers, timeout_s)
            except _NOT_SENT as error:
                failure = self.failure(error)
            except (urllib3.exceptions.HTTPError, OSError) as error:
                raise self.failure(error) from error
        self._preferred = first
        raise failure

    def call(self, method, path, *, body=None, headers=None, timeout_s):
        """Send a call and return its whole `Answer`.

        Raises
        ------
        exceptions.BackendFailed, exceptions.Timeout
            Also if the body is larger than `MAX_BODY_BYTES` or was not
            whole by the deadline.
        """
        deadline = time.monotonic() + timeout_s
        response = self.open(
            method, path, body=body, headers=headers, timeout_s=timeout_s
        )
        data = b"".join(self.chunks(response, deadline, MAX_BODY_BYTES))
        return responses.HttpResponse(response.status, response.headers, data)

    def chunks(self, response, deadline, limit_bytes, *, is_delimited=False):
        """Yield the body as it arrives, then free the connection.

        Parameters
        ----------
        response : urllib3.HTTPResponse
            From `open`.
        deadline : float
            On ``time.monotonic``, in seconds.
        limit_bytes : int
            Longest body that is taken.
        is_delimited : bool
            The reader can tell by the body itself whether it is whole.

        Raises
        ------
        exceptions.BackendFailed, exceptions.Timeout
            If it is cut, larger than `limit_bytes`, or late; also if it
            ends with the connection, which looks the same as a cut.
        """
        has_end = response.chunked or response.length_remaining is not None
        bytes_left = limit_bytes
        whole = False
        try:
            while chunk := response.read1(_READ_BYTES):
                bytes_left -= len(chunk)
                self._check_limits(bytes_left, limit_bytes, deadline)
                yield chunk
            if not has_end and not is_delimited:
                raise exceptions.BackendFailed(
                    f"{self.address} gave no length; the answer may be cut",
                    reason=reasons.Refusal.ANSWER_CUT,
                )
            whole = True
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise self.failure(error) from error
        finally:
            if not whole:
                response.close()
            response.release_conn()

    def failure(self, error):
        """Return our error for urllib3's, with its verdict."""
        if isinstance(error, _NOT_SENT):
            return exceptions.BackendFailed(
                f"{self.address} can't be reached: {error}",
                reason=reasons.Refusal.CONNECT_FAILED,
                verdict=verdicts.Verdict.NOT_RUN,
            )
        if isinstance(error, urllib3.exceptions.TimeoutError):
            return exceptions.Timeout(
                f"{self.address} gave no answer in time: {error}"
            )
        return exceptions.BackendFailed(
            f"{self.address} broke off: {error!r}",
            reason=reasons.Refusal.ANSWER_CUT,
        )

    def _check_limits(self, bytes_left, limit_bytes, deadline):
        if bytes_left < 0:
            raise exceptions.BackendFailed(
                f"{self.address} sent more than {limit_bytes} bytes",
                reason=reasons.Refusal.BODY_TOO_LARGE,
            )
        if time.monotonic() > deadline:
            raise exceptions.Timeout(
                f"{self.address} was still answering at the deadline"
            )


def _pool(address, connections):
    host, _, port = str(address).rpartition(":")
    pool = urllib3.HTTPConnectionPool(
        host, int(port), maxsize=connections, retries=False
    )
    pool.ConnectionCls = strict_connection.Connection
    return pool


def _send(pool, method, path, body, headers, timeout_s):
    timeout_s = max(timeout_s, MIN_TIMEOUT_S)
    timeout = urllib3.Timeout(
        connect=min(timeout_s, CONNECT_TIMEOUT_S), read=timeout_s
    )
    return pool.urlopen(
        method,
        path,
        body=body,
        headers=headers,
        timeout=timeout,
        redirect=False,
        preload_content=False,
        decode_content=False,
    )
