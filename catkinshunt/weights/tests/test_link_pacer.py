"""Tests of the share of a link that a transfer takes."""

import pytest

from catkinshunt import weights


def test_a_transfer_yields_to_live_requests_down_to_the_floor():
    """Requests and a transfer meet on one link.

    If the transfer took all of it, callers would wait behind weights; if it
    got nothing, the new version would never come.
    """
    share = weights.LinkPacer(1000.0, floor_share=0.2, window_s=1.0)
    assert share.available_bytes_per_s(0.0) == 1000.0
    share.observe(600, 0.0)
    assert share.available_bytes_per_s(0.0) == pytest.approx(400.0)
    share.observe(5000, 0.0)
    assert share.available_bytes_per_s(0.0) == pytest.approx(200.0)
    assert share.available_bytes_per_s(20.0) == pytest.approx(1000.0, abs=1.0)


def test_reservations_keep_to_the_rate():
    share = weights.LinkPacer(100.0, burst_s=0.0)
    waits = [share.reserve(10, 0.0) for _ in range(5)]
    assert waits == pytest.approx([0.1, 0.2, 0.3, 0.4, 0.5])
    assert share.reserve(10, 10.0) == pytest.approx(0.1)


class Body:
    """An answer that notes when it is released."""

    closed = False

    def __iter__(self):
        yield from (b'abc', b'de')

    def close(self):
        self.closed = True


@pytest.mark.parametrize(
    ('path', 'seen'),
    [('/upstream/generate', [(0, 7), (3, 0), (2, 0)]), ('/chunks/m/v/1', [])],
)
def test_only_live_requests_are_counted(path, seen):
    calls = []
    inner = Body()
    app = weights.LiveTrafficApp(
        lambda environ, start_response: inner, lambda *args: calls.append(args)
    )
    body = app({'PATH_INFO': path, 'CONTENT_LENGTH': '7'}, None)
    assert b''.join(body) == b'abcde'
    body.close()
    assert inner.closed
    assert calls == seen
