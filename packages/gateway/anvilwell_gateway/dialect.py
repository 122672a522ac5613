"""Port that translates the platform's HTTP headers and bodies."""

import abc
import enum
import typing

from anvilwell_decisions.requests import server_loads


class RequestHead(typing.NamedTuple):
    """The parsed headers of a caller's request.

    ``timeout_s`` is None if the caller sets no timeout. ``resume_after`` is
    the number of the last stream event that the caller has received, 0 for
    none.
    """

    request_id: str
    timeout_s: float | None = None
    resume_after: int = 0


class ResponseHead(typing.NamedTuple):
    """The parsed headers of a replica's response.

    ``seal`` is the replica's proof of its response, "" if it gives none.
    ``not_run`` is whether the replica guarantees that the request did not
    run, and ``is_other`` whether the response is from another replica than
    the one that was called. ``load`` is the load that the replica reports,
    None if it reports none. ``cold_s`` is how much longer the replica is cold,
    in seconds, None if it doesn't say.
    """

    request_id: str
    seal: str
    not_run: bool
    version: int = 0
    load: server_loads.ServerLoad | None = None
    is_other: bool = False
    cold_s: float | None = None

    @property
    def is_sealed(self):
        """Whether the response has a seal."""
        return bool(self.seal)


class SubmissionHead(typing.NamedTuple):
    """What decides which entry accepts a batch.

    ``batch_id`` is the trainer's own id of the batch.
    """

    batch_id: str
    model: str


class BatchVerb(enum.Enum):
    """The operation that a call on a batch requests."""

    READ = "read"
    BODY = "body"
    END = "end"


class BatchCall(typing.NamedTuple):
    """A call on an existing batch."""

    verb: BatchVerb
    batch_id: str
    after: int = 0
    wait_s: float = 0.0
    item_id: str = ""


class Dialect(abc.ABC):
    """Translates requests and responses of one platform."""

    @abc.abstractmethod
    def read_request_head(self, headers):
        """Parse a caller's headers into a `RequestHead`."""

    @abc.abstractmethod
    def keys(self, headers):
        """Return all organisation keys in a caller's headers."""

    @abc.abstractmethod
    def without_identity(self, headers):
        """Return a caller's headers without those that identify it."""

    @abc.abstractmethod
    def batch_call(self, request):
        """Return the `BatchCall` in a request, None if it is no such call.

        Raises
        ------
        exceptions.BadRequest
            If the request is a malformed call on a batch.
        """

    @abc.abstractmethod
    def replica_headers(
        self, headers, name, timeout_s, resume_after=0, organisation=""
    ):
        """Return the headers of a request to a replica.

        Parameters
        ----------
        headers : messages.Headers
            The headers of the caller or of a batch's item. Those that name
            an organisation or a key are removed.
        name : str
            Id of the replica; any other replica refuses the request.
        timeout_s : float
            Seconds after which the replica stops.
        resume_after : int
            Number of the last event received; 0 for none.
        organisation : str
            Name of the organisation that sends the request, "" for none.
        """

    @abc.abstractmethod
    def item_headers(self, item, host):
        """Return the request headers for an item of a batch."""

    @abc.abstractmethod
    def scoring_headers(self, scoring_call):
        """Return the request headers for a `facts.ScoringCall`."""

    @abc.abstractmethod
    def read_response_head(self, reply):
        """Parse the headers of a replica's response into a `ResponseHead`."""

    @abc.abstractmethod
    def read_event(self, block):
        """Return the `facts.Event` in one block of a stream, None if none."""

    @abc.abstractmethod
    def failure_headers(self, request_id, retry_after_s):
        """Return the headers of an error response from this VM."""

    @abc.abstractmethod
    def read_submission(self, request):
        """Return the `facts.Submission` in a caller's request.

        Raises
        ------
        exceptions.BadRequest
            If the request holds no valid submission.
        """

    @abc.abstractmethod
    def read_submission_head(self, request):
        """Return the `SubmissionHead` in a caller's request.

        It takes no memory beside the body of the request.

        Raises
        ------
        exceptions.BadRequest
            If the request holds no submission. Its items are not checked.
        """

    @abc.abstractmethod
    def stored_request(self, raw):
        """Return the request of a stored ``uploads.StoredSubmission``."""

    @abc.abstractmethod
    def encode_results_page(self, total, results, next_position):
        """Encode the response body for one page of results."""
