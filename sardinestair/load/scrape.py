"""Reads counters from the entries' metrics."""

import re
from collections import defaultdict
from collections.abc import Sequence

from sardinestair.transfer import Reply, Transfer

__all__ = ["parse_counter", "read_wasted"]

WASTED_MESSAGES_METRIC = "sardinestair_messages_wasted_total"
SCRAPE_TIMEOUT_S = 5.0
_SAMPLE_PATTERN = re.compile(r"^(\w+)(?:\{(.*)\})? ([0-9.e+-]+)$")
_KIND_PATTERN = re.compile(r'kind="([^"]*)"')


def parse_counter(text: str, name: str) -> dict[str, float]:
    """Parses one counter from metrics text, by its `kind` label.

    Examples:
        >>> parse_counter('a_total{kind="x"} 2', "a_total")
        {'x': 2.0}
    """
    counts: dict[str, float] = defaultdict(float)
    for line in text.splitlines():
        match = _SAMPLE_PATTERN.match(line)
        if match and match.group(1) == name:
            kind = _KIND_PATTERN.search(match.group(2) or "")
            counts[kind.group(1) if kind else ""] += float(match.group(3))
    return dict(counts)


def read_wasted(urls: Sequence[str]) -> dict[str, float]:
    """Returns the number of wasted messages of all entries, by kind."""
    totals: dict[str, float] = defaultdict(float)
    for url in urls:
        reply = Transfer().perform(
            "GET", f"{url}/metrics", b"", SCRAPE_TIMEOUT_S
        )
        if isinstance(reply, Reply):
            text = reply.body.decode()
            for kind, count in parse_counter(
                text, WASTED_MESSAGES_METRIC
            ).items():
                totals[kind] += count
    return dict(totals)
