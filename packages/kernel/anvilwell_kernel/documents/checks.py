"""Checks for contradictions within a service document."""

from anvilwell_kernel.config import problem as problems
from anvilwell_kernel.documents import document

_MODEL_ONLY = ("model", "trainers")


def find_contradictions(sections_by_name):
    """Return a `problem.Problem` for each contradiction found."""
    service = sections_by_name.get("service")
    if service is None:
        return []
    found = [*_newer_schema(service)]
    if service.kind == "model":
        found += _model_problems(sections_by_name)
    else:
        found += _plain_problems(sections_by_name)
    return found


def _problem(section, key, description, fix):
    return problems.Problem("", section, key, description, fix)


def _newer_schema(service):
    if service.schema > document.SCHEMA:
        description = (
            f"schema {service.schema} is newer than this release supports "
            f"({document.SCHEMA})"
        )
        fix = f"upgrade anvilwell, or write schema = {document.SCHEMA}"
        yield _problem("service", "schema", description, fix)


def _model_problems(sections_by_name):
    model = sections_by_name.get("model")
    if "model" in sections_by_name and model is None:
        description = "missing, but the kind is model"
        yield _problem(
            "model", "", description, "add it, or write kind = plain"
        )
    if model is not None and model.live_floor == 1:
        description = "1 leaves no replica free to load new weights"
        fix = "give a share below 1, such as 0.5"
        yield _problem("model", "live_floor", description, fix)
    calls = sections_by_name.get("calls")
    if calls is not None and calls.non_idempotent:
        description = "is for kind plain, but the kind is model"
        yield _problem(
            "calls", "", description, "remove it, or write kind = plain"
        )
    yield from _share_problems(sections_by_name)


def _share_problems(sections_by_name):
    traffic = sections_by_name.get("traffic")
    trainers = sections_by_name.get("trainers")
    if traffic is not None and trainers and traffic.live_reserve == 1:
        description = "1 leaves no capacity for the trainers"
        fix = "give a share below 1, such as 0.2"
        yield _problem("traffic", "live_reserve", description, fix)


def _plain_problems(sections_by_name):
    for name in _MODEL_ONLY:
        if sections_by_name.get(name):
            description = "is for kind model, but the kind is plain"
            fix = "remove it, or write kind = model"
            yield _problem(name, "", description, fix)
