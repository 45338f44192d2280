"""Messages between processes, one in a datagram.

A datagram is one JSON list that begins with a word for its kind, followed by
the fields of an `attrs` class. All can be lost, doubled or late.
"""

import json

import attrs


class DecodeError(ValueError):
    """A datagram that is none of the messages that are known."""


class Codec:
    """Writes and reads messages of some kinds.

    Args:
        kinds: `attrs` classes with a class attribute ``kind``; their fields
            are of type int, float, bool, str or tuple, the last one of str.
        max_bytes: longest datagram that is read.

    Examples:
        >>> @attrs.frozen
        ... class Greeting:
        ...     kind = 'greeting'
        ...     names: tuple
        >>> codec = Codec([Greeting], max_bytes=100)
        >>> codec.dump(Greeting(('a', 'b')))
        b'["greeting",["a","b"]]'
        >>> codec.load(b'["greeting",["a","b"]]')
        Greeting(names=('a', 'b'))
    """

    def __init__(self, kinds, max_bytes):
        self.kinds = kinds
        self.max_bytes = max_bytes
        self._by_name = {cls.kind: cls for cls in kinds}

    def dump(self, message):
        """Return the bytes of a message."""
        values = [message.kind, *attrs.astuple(message)]
        return json.dumps(values, separators=(',', ':')).encode()

    def load(self, data):
        """Return the message in a datagram.

        Raises:
            DecodeError: it is none.
        """
        if len(data) > self.max_bytes:
            raise DecodeError(f'{len(data)} bytes')
        try:
            kind, *values = json.loads(data)
            cls = self._by_name[kind]
        except (ValueError, TypeError, KeyError, RecursionError) as exc:
            raise DecodeError('no message') from exc
        fields = attrs.fields(cls)
        if len(values) != len(fields):
            raise DecodeError(f'{kind} with {len(values)} fields')
        return cls(*map(_read, fields, values))


def _read(field, value):
    """Return `value` if it is of the type of `field`, and not below zero."""
    if field.type is float:
        fits = type(value) in (int, float) and 0 <= value < float('inf')
    elif field.type is int:
        fits = type(value) is int and value >= 0
    elif field.type is tuple:
        fits = type(value) is list and all(type(v) is str for v in value)
        value = tuple(value) if fits else value
    else:
        fits = type(value) is field.type
    if not fits:
        raise DecodeError(f'{field.name} is {value!r}'[:80])
    return value
