"""The JSON body of an error response."""

import typing_extensions


class ErrorDetail(typing_extensions.TypedDict):
    """The verdict on a failed request and the reason of its failure."""

    verdict: str
    reason: str
    message: str
    request_id: str
    retry_after_s: float | None


class ErrorBody(typing_extensions.TypedDict):
    """The body of an error response."""

    error: ErrorDetail
