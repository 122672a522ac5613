"""How callers, replicas and the store's entries are spoken, as a port."""

import abc
import enum
import typing

from anvilwell_decisions.requests import server_loads


class RequestHead(typing.NamedTuple):
    """What a caller's head says; ``timeout_s`` is None if it does not.

    ``resume_after`` is the number of the last event that the caller has
    of a stream, 0 for none.
    """

    request_id: str
    timeout_s: float | None = None
    resume_after: int = 0


class ResponseHead(typing.NamedTuple):
    """What a replica's head says.

    ``seal`` is the replica's proof of its answer, "" if it gives none;
    ``not_run`` whether it promises that the request did not run, and
    ``is_other`` whether it is another replica than the one asked.
    ``load`` is what it tells of its load, None if it doesn't.
    """

    request_id: str
    seal: str
    not_run: bool
    version: int = 0
    load: server_loads.ServerLoad | None = None
    is_other: bool = False

    @property
    def is_sealed(self):
        """Whether the replica vouches for the answer."""
        return bool(self.seal)


class BatchVerb(enum.Enum):
    """What a call on a batch asks for."""

    READ = "read"
    BODY = "body"
    END = "end"


class BatchCall(typing.NamedTuple):
    """A call on a batch that was accepted before."""

    verb: BatchVerb
    batch_id: str
    after: int = 0
    wait_s: float = 0.0
    item_id: str = ""


class Dialect(abc.ABC):
    """Translates the heads of requests and answers."""

    @abc.abstractmethod
    def read_request_head(self, headers):
        """Return the `RequestHead` that a caller's headers make."""

    @abc.abstractmethod
    def keys(self, headers):
        """Return all keys of organisations in a caller's headers."""

    @abc.abstractmethod
    def without_identity(self, headers):
        """Return a caller's headers less those that say who it is."""

    @abc.abstractmethod
    def batch_call(self, request):
        """Return the `BatchCall` that a request is, or None.

        Raises
        ------
        exceptions.BadRequest
            If it is one that can't be understood.
        """

    @abc.abstractmethod
    def replica_headers(
        self, headers, name, timeout_s, resume_after=0, organisation=""
    ):
        """Return the headers that a replica is sent.

        Parameters
        ----------
        headers : messages.Headers
            Those of the caller, or of a batch's item.
        name : str
            The replica's own; any other replica refuses the request.
        timeout_s : float
            After which the replica stops.
        resume_after : int
            Number of the last event that is known; 0 for none.
        organisation : str
            Who sends the request, "" for nobody in particular. Whatever
            the headers say of that or of a key is left out.
        """

    @abc.abstractmethod
    def item_headers(self, item, host):
        """Return the headers of a batch's item as a request."""

    @abc.abstractmethod
    def scoring_headers(self, scoring_call):
        """Return the headers of a `facts.ScoringCall` as a request."""

    @abc.abstractmethod
    def read_response_head(self, reply):
        """Return the `ResponseHead` that a replica's head makes."""

    @abc.abstractmethod
    def read_event(self, block):
        """Return the `facts.Event` in one block of a stream, or None."""

    @abc.abstractmethod
    def failure_headers(self, request_id, retry_after_s):
        """Return the headers of a failure that this VM answers."""

    @abc.abstractmethod
    def read_submission(self, request):
        """Return the `facts.Submission` in a caller's request.

        Raises
        ------
        exceptions.BadRequest
            If the request holds none.
        """

    @abc.abstractmethod
    def stored_request(self, raw):
        """Return the request of a stored ``records.StoredSubmission``."""

    @abc.abstractmethod
    def encode_results_page(self, total, results, next_position):
        """Return the body of a page of results."""
