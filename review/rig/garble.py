"""Runners that hand out wrong bytes (`garble`)."""

import random


class Garble:
    """Wrong bytes in a share of the answers of some runners.

    Args:
        record: `case.Record`.
        x: share of the answers of these runners.
        seed: seed of what is left to chance.

    Attributes:
        is_on: whether it lasts.
        hit: ids of the requests whose answers were changed.
        breaks_off: whether a spoilt stream is also broken off.
    """

    breaks_off = False

    def __init__(self, record, x, seed):
        self.record = record
        self.x = x
        self.random = random.Random(seed)
        self.is_on = False
        self.hit = []

    def draw(self, runner, req, text):
        """Return whether the answer to a request is changed; record it."""
        if not self.is_on or self.random.random() >= self.x:
            return False
        request = req.headers.get('attempt-id', '')
        self.hit.append(request)
        self.record.add(f'{runner.name} to {request}: {text}')
        return True

    def change(self, runner, req, answer):
        """Return the bytes of a whole answer to send."""
        return answer

    def pick_event(self, runner, req, first, last):
        """Return the number of the event that is spoilt, or None."""
        return None

    def spoil_event(self, data):
        """Return the bytes of a spoilt event."""
        return data


def spoil(data, name):
    """Return `data` with one wrong bit, in a header name or a line."""
    at = data.index(name) + len(name) - 1
    return data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]
