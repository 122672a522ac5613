"""Processor time and memory of a daemon, from its metrics page."""

import typing

from prometheus_client import parser
import urllib3

_CPU = "process_cpu_seconds_total"
_MEMORY = "process_resident_memory_bytes"
_TIMEOUT_S = 10.0


class Usage(typing.NamedTuple):
    """What a process has used so far, and holds now."""

    cpu_s: float
    memory_bytes: float


def read(url):
    """Return the `Usage` that the metrics page at `url` shows."""
    page = urllib3.request("GET", url, timeout=_TIMEOUT_S).data.decode()
    return parse(page)


def parse(page):
    """Return the `Usage` in a Prometheus `page`.

    Raises
    ------
    KeyError
        If the page does not show it.
    """
    families = parser.text_string_to_metric_families(page)
    values_by_name = {
        sample.name: sample.value
        for family in families
        for sample in family.samples
    }
    return Usage(values_by_name[_CPU], values_by_name[_MEMORY])
