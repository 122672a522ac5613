"""What happened to a request, from this entry's traces."""

from anvilwell_kernel.messages import operators
from anvilwell_kernel import web


class Explanations:
    """Handler that uses the service ``traces``."""

    def __init__(self, bridge):
        self._bridge = bridge

    def routes(self):
        """Return ``(rule, handler, methods)`` of each route."""
        return (("/admin/explain/<request_id>", self.explain, ("GET",)),)

    def explain(self, request, request_id):
        """Answer `operators.Explanation`."""
        notes = self._bridge.service("traces").explain(request_id)
        events = [
            operators.Event(
                at=note.at,
                event=note.event,
                fields={key: str(one) for key, one in note.fields.items()},
            )
            for note in notes
        ]
        return web.json_response(
            operators.Explanation(request_id=request_id, events=events)
        )
