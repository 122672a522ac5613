"""HTTP client with a verdict on every error and a limit on every body."""

import time

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts
import urllib3

from anvilwell_outside.adapters import responses
from anvilwell_outside.adapters import strict_connection

# Largest body that `HttpClient.call` reads into memory.
MAX_BODY_BYTES = 4 << 20
# Idle connections kept for each address.
CONNECTIONS = 64
# Limit for making a connection, also if the call itself may take longer.
CONNECT_TIMEOUT_S = 1.0
# Used for a call whose deadline has passed: urllib3 rejects timeouts of 0 or
# less.
MIN_TIMEOUT_S = 0.001
_READ_BYTES = 1 << 16

# Errors raised before anything was sent.
_NOT_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.LocationValueError,
)


class HttpClient:
    """Kept-alive connections to one system with one or more addresses.

    Parameters
    ----------
    *addresses : str or Address
        ``ip:port`` of each server. If a connection to one can't be made,
        the next is tried, and later calls start with the one that worked.
    connections : int
        Number of idle connections kept for each address; more may be open
        at a time.

    Notes
    -----
    It never retries a call that it has begun to send, and does not follow
    redirects. If no connection could be made, the error has verdict
    ``NOT_RUN``. Any later failure has verdict ``MAY_HAVE_RUN``, including
    one on a kept-alive connection that the server had closed.
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
        """Send a request and return urllib3's response with its body unread.

        Parameters
        ----------
        method, path : str
            Method and path of the request.
        body : bytes, optional
            Body of the request.
        headers : mapping, optional
            Headers of the request.
        timeout_s : float
            Limit for the connection and for each read, in seconds; the
            connection has at most `CONNECT_TIMEOUT_S`.
        use_new_connection : bool
            Send the request on a new connection that is used only once.

        Raises
        ------
        exceptions.BackendFailed, exceptions.Timeout
            If the request fails; the verdict says whether it may have
            run.
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
        """Send a request and return the `HttpResponse` with its whole body.

        Raises
        ------
        exceptions.BackendFailed, exceptions.Timeout
            If the request fails, the body is larger than `MAX_BODY_BYTES`
            or it is not complete after `timeout_s`.
        """
        deadline = time.monotonic() + timeout_s
        response = self.open(
            method, path, body=body, headers=headers, timeout_s=timeout_s
        )
        data = b"".join(self.chunks(response, deadline, MAX_BODY_BYTES))
        return responses.HttpResponse(response.status, response.headers, data)

    def chunks(self, response, deadline, limit_bytes, *, is_delimited=False):
        """Yield the body as it arrives, then release the connection.

        Parameters
        ----------
        response : urllib3.HTTPResponse
            A response that `open` returned.
        deadline : float
            Time on ``time.monotonic``, in seconds, by which the body must
            be complete.
        limit_bytes : int
            Largest body that is accepted.
        is_delimited : bool
            Whether the body itself marks its end, so that the reader can
            detect truncation.

        Raises
        ------
        exceptions.BackendFailed, exceptions.Timeout
            If the body is truncated, larger than `limit_bytes` or late.
            Also if only the end of the connection marks its end, unless
            `is_delimited`, as truncation could not be detected.
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
                    f"{self.address} sent no length; the response may be "
                    "truncated",
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
        """Convert an error of urllib3 into one of this project's.

        The result carries the verdict on whether the request may have run.
        """
        if isinstance(error, _NOT_SENT):
            return exceptions.BackendFailed(
                f"{self.address} can't be reached: {error}",
                reason=reasons.Refusal.CONNECT_FAILED,
                verdict=verdicts.Verdict.NOT_RUN,
            )
        if isinstance(error, urllib3.exceptions.TimeoutError):
            return exceptions.Timeout(
                f"{self.address} did not respond in time: {error}"
            )
        return exceptions.BackendFailed(
            f"the connection to {self.address} failed: {error!r}",
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
                f"{self.address} did not complete its response in time"
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
