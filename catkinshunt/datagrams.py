"""Encoding of messages between processes, one message per datagram.

A datagram is a JSON list: the kind of the message, then the fields of an
`attrs` class by position. Datagrams can be lost, duplicated or delayed.
"""

import json

import attrs


#: Type of a field that holds a tuple of int.
IntTuple = tuple[int, ...]


class DecodeError(ValueError):
    """A datagram that is not a valid message."""


class Codec:
    """Encodes and decodes messages of the given classes.

    Args:
        message_classes: `attrs` classes with a class attribute ``kind``.
            Field types are int, float, bool, str, tuple for a tuple of str
            and `IntTuple` for one of int.
        max_bytes: maximum size of a datagram that is decoded.

    A class that raises `ValueError` for its fields makes a datagram invalid.

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
            DecodeError: the datagram is not a valid message.
        """
        if len(data) > self.max_bytes:
            raise DecodeError(f'{len(data)} bytes exceed the maximum size')
        try:
            kind, *values = json.loads(data)
            cls = self._by_kind[kind]
        except (ValueError, TypeError, KeyError, RecursionError) as exc:
            raise DecodeError('not a JSON list of a known kind') from exc
        fields = attrs.fields(cls)
        if len(values) != len(fields):
            raise DecodeError(
                f'{kind} has a wrong number of fields: {len(values)}'
            )
        values = list(map(_check_field, fields, values))
        try:
            return cls(*values)
        except ValueError as exc:
            raise DecodeError(f'{kind}: {exc}') from exc


def _check_field(field, value):
    """Return `value` if it has the type of `field` and is not negative.

    Raises:
        DecodeError: `value` is not valid.
    """
    if field.type is float:
        is_valid = type(value) in (int, float) and 0 <= value < float('inf')
    elif field.type is int:
        is_valid = type(value) is int and value >= 0
    elif field.type is tuple:
        is_valid = type(value) is list and all(type(v) is str for v in value)
        value = tuple(value) if is_valid else value
    elif field.type == IntTuple:
        is_valid = type(value) is list and all(
            type(v) is int and v >= 0 for v in value
        )
        value = tuple(value) if is_valid else value
    else:
        is_valid = type(value) is field.type
    if not is_valid:
        raise DecodeError(f'invalid value of {field.name}: {value!r}'[:80])
    return value
