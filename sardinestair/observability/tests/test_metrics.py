"""Counters and histograms that are added up before they are shown."""

from sardinestair.observability import Metrics


def test_buckets_are_cumulative_over_several_renderings():
    metrics = Metrics()
    for value in (0.003, 0.2, 100.0):
        metrics.observe("wait_s", {}, value)
        text = metrics.render()[0].decode()
    name = "sardinestair_wait_s_bucket{le="
    assert f'{name}"0.0025"}} 0.0' in text
    assert f'{name}"0.005"}} 1.0' in text
    assert f'{name}"0.25"}} 2.0' in text
    assert f'{name}"30.0"}} 2.0' in text
    assert f'{name}"+Inf"}} 3.0' in text
    assert "sardinestair_wait_s_count 3.0" in text


def test_value_on_a_bound_counts_in_its_bucket():
    metrics = Metrics()
    metrics.observe("wait_s", {}, 0.25)
    assert b'wait_s_bucket{le="0.25"} 1.0' in metrics.render()[0]
