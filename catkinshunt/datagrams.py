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

    def __init__(self, message_classes, max_bytes):
        self.message_classes = message_classes
        self.max_bytes = max_bytes
        self._by_kind = {cls.kind: cls for cls in message_classes}

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
            cls = self._by_kind[kind]
        except (ValueError, TypeError, KeyError, RecursionError) as exc:
            raise DecodeError('no message') from exc
        fields = attrs.fields(cls)
        if len(values) != len(fields):
            raise DecodeError(f'{kind} with {len(values)} fields')
        return cls(*map(_check_field, fields, values))


def _check_field(field, value):
    """Return `value` if it is of the type of `field`, and not below zero."""
    if field.type is float:
        is_valid = type(value) in (int, float) and 0 <= value < float('inf')
    elif field.type is int:
        is_valid = type(value) is int and value >= 0
    elif field.type is tuple:
        is_valid = type(value) is list and all(type(v) is str for v in value)
        value = tuple(value) if is_valid else value
    else:
        is_valid = type(value) is field.type
    if not is_valid:
        raise DecodeError(f'{field.name} is {value!r}'[:80])
    return value
