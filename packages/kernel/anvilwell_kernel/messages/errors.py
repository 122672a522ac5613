"""The JSON body of an error."""

import typing_extensions


class ErrorDetail(typing_extensions.TypedDict):
    """What is known of a failed request."""

    verdict: str
    reason: str
    message: str
    request_id: str
    retry_after_s: float | None


class ErrorBody(typing_extensions.TypedDict):
    """The whole body."""

    error: ErrorDetail
