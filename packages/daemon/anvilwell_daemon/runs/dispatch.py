"""Attempts at samples through the service ``dispatcher``."""

import contextlib
import json

from anvilwell_daemon.entry import calls
from anvilwell_daemon.runs import generator
from anvilwell_decisions.samples import versions
from anvilwell_kernel import exceptions

ATTEMPT_LIMIT_S = 3600.0


class DispatchGenerator(generator.Generator):
    """Streams from replicas over the data links.

    Parameters
    ----------
    dispatcher : daemon.entry.dispatcher.Dispatcher
        Carries one attempt to one replica.
    replicas : daemon.entry.replicas.Replicas
        What the replicas last reported.
    configuration : object
        The services' documents.
    """

    def __init__(self, dispatcher, replicas, configuration):
        self._dispatcher = dispatcher
        self._replicas = replicas
        self._configuration = configuration

    async def stream(self, replica_id, attempt):
        """Yield the token runs of one attempt."""
        call = _call(attempt)
        answer = await self._dispatcher.attempt_async(replica_id, call)
        with contextlib.closing(answer):
            async for piece in answer:
                yield versions.TokenRun(
                    piece.version, piece.tokens, piece.data.decode()
                )

    def desired_version(self, service):
        """Return the document's version, "" if there is none now."""
        try:
            return self._configuration.document(service).model.version
        except exceptions.AnvilwellError:
            return ""

    def replica_version(self, replica_id):
        """Return the version that a replica last reported, or ""."""
        try:
            load = self._replicas.link(replica_id).load
        except exceptions.AnvilwellError:
            return ""
        return load.version if load else ""


def _call(attempt):
    group = attempt.group
    body = {
        "model": attempt.service,
        "prompt": group.prompt,
        "max_tokens": group.max_tokens,
        "seed": group.seed + attempt.sample.index,
        "stream": True,
    }
    return calls.Call(
        request_id=attempt.attempt_id,
        service=attempt.service,
        body=json.dumps(body).encode(),
        deadline_s=ATTEMPT_LIMIT_S,
        priority=calls.TRAINING,
        prefix=f"{attempt.sample.run}/{group.group}",
    )
