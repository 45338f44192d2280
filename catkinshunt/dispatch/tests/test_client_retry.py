import random

import pytest

from catkinshunt import dispatch


def test_shorter_timeout_marks_a_returning_request():
    detector = dispatch.ClientRetryDetector()
    for _ in range(20):
        detector.waited_s('chat', 6.0, 1.0)
    assert detector.waited_s('chat', 5.2, 1.0) == pytest.approx(0.8)


def test_varying_timeouts_are_not_taken_for_returning_requests():
    """Clients use timeouts between 4.8 and 6 s.

    Taken for returning requests, half of all requests would be ranked late
    without a burst and wait behind the others in every queue.
    """
    rng = random.Random(3)
    detector = dispatch.ClientRetryDetector()
    detected = [
        detector.waited_s('chat', rng.uniform(4.8, 6.0), 1.0)
        for _ in range(500)
    ]
    assert not any(detected[20:])


def test_many_returning_requests_are_detected():
    """Two in five requests of a burst are returning ones."""
    rng = random.Random(4)
    detector = dispatch.ClientRetryDetector()
    for _ in range(20):
        detector.waited_s('chat', 6.0, 1.0)
    detected = []
    for _ in range(300):
        if rng.random() < 0.4:
            detected.append(
                detector.waited_s('chat', rng.uniform(2.0, 5.5), 1.0)
            )
        else:
            assert detector.waited_s('chat', 6.0, 1.0) == 0.0
    assert sum(map(bool, detected)) >= 0.9 * len(detected)


def test_services_are_tracked_separately():
    detector = dispatch.ClientRetryDetector()
    for _ in range(20):
        detector.waited_s('chat', 6.0, 1.0)
    assert detector.waited_s('desk', 1.5, 1.0) == 0.0


def test_first_request_may_be_a_returning_one():
    """An entry starts during a burst."""
    detector = dispatch.ClientRetryDetector()
    detector.waited_s('chat', 4.0, 1.0)
    assert detector.waited_s('chat', 6.0, 1.0) == 0.0
    assert detector.waited_s('chat', 4.0, 1.0) == pytest.approx(2.0)


def test_samples_outside_bursts_bound_first_timeouts():
    """Clients use timeouts between 5.1 and 6 s and retry a second later.

    Past capacity a returning request cannot be in time. Taken for a new one,
    it gets a permit with which another request would have been in time.
    """
    rng = random.Random(5)
    detector = dispatch.ClientRetryDetector()
    for _ in range(60):
        detector.waited_s('chat', rng.uniform(5.1, 6.0), 1.0)
    detector.record_rejection(2.0)
    first = [
        detector.waited_s('chat', rng.uniform(5.1, 6.0), 3.0)
        for _ in range(200)
    ]
    back = [
        detector.waited_s('chat', rng.uniform(5.1, 6.0) - 1.2, 3.0)
        for _ in range(200)
    ]
    assert not any(first)
    assert sum(map(bool, back)) >= 0.95 * len(back)


def test_timeouts_during_a_burst_are_not_sampled():
    """Many of them belong to returning requests."""
    rng = random.Random(6)
    detector = dispatch.ClientRetryDetector()
    for _ in range(60):
        detector.waited_s('chat', rng.uniform(5.1, 6.0), 1.0)
    detector.record_rejection(2.0)
    for _ in range(500):
        detector.waited_s('chat', rng.uniform(2.0, 4.0), 3.0)
    assert detector.waited_s('chat', 3.9, 3.1) > 1.0
