"""What requests have in common: their whole, and parts of their prompts."""

import hashlib

import attrs

#: Most parts of a prompt that count; the first ones do.
MAX_PARTS = 16
_DIGEST_BYTES = 16
#: Keeps the digest of a part apart from that of any whole request.
_PART_PERSON = b'prompt part'


def part_fingerprint(part_id):
    """Return a hex digest of a part of a prompt.

    It is equal for all accounts and routes, and never that of a whole.

    Args:
        part_id: id of the part, a string.

    Examples:
        >>> part_fingerprint('terms-2') == part_fingerprint('terms-2')
        True
    """
    return hashlib.blake2b(
        part_id.encode('utf-8', 'surrogateescape'),
        digest_size=_DIGEST_BYTES,
        person=_PART_PERSON,
    ).hexdigest()


def _limit(parts):
    return tuple(dict.fromkeys(parts))[:MAX_PARTS]


@attrs.frozen
class Traits:
    """What of a request may crash its upstream, and come again.

    Attributes:
        whole: fingerprint of the whole request.
        parts: fingerprints of the shared parts of its prompt, in order; each
            once, and `MAX_PARTS` at most.
    """

    whole: str
    parts: tuple = attrs.field(default=(), converter=_limit)

    def __iter__(self):
        yield self.whole
        yield from self.parts
