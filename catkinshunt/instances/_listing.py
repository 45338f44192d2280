"""Revisions of the instance list, and the changes between them."""

import hashlib
import json
import zlib

import attrs

from catkinshunt import checks
from catkinshunt.dissemination import base
from catkinshunt import errors
from catkinshunt.instances import _instance

#: Name of the document in dissemination.
TOPIC = 'instances'
#: Number of changes kept for peers that are a few revisions behind.
MAX_CHANGES = 64
#: Limits decompression, against a small message that inflates to a huge list.
MAX_DOCUMENT_BYTES = 32_000_000
_DIGEST_BYTES = 32


@attrs.frozen
class Change:
    """The difference between two revisions of the list.

    Args:
        base_revision: revision to which it applies.
        revision: resulting revision.
        changed: added and modified instances.
        removed: names of removed instances.
    """

    base_revision: int
    revision: int
    changed: tuple = ()
    removed: tuple = ()

    @classmethod
    def from_bytes(cls, line):
        """Decode the output of `to_bytes`."""
        value = checks.load_json(line)
        changed = map(_instance.Instance.from_listing, value['changed'])
        return cls(
            checks.check_count(value['base_revision'], 'base_revision'),
            checks.check_count(value['revision'], 'revision'),
            tuple(changed),
            tuple(value['gone']),
        )

    def to_bytes(self):
        """Return the change as JSON."""
        value = {
            'base_revision': self.base_revision,
            'revision': self.revision,
            'changed': [item.to_listing() for item in self.changed],
            'gone': list(self.removed),
        }
        return json.dumps(value, separators=(',', ':')).encode()


@attrs.frozen(eq=False)
class Listing:
    """The instances at one revision of the list.

    Args:
        revision: the platform's revision of its list.
        by_name: instances by name.
        digest_sum: sum of the digests of all instances. Unlike a digest of
            the whole list, it is updated incrementally by a change.
        changes: the latest consecutive changes, oldest first.
    """

    revision: int = 0
    by_name: dict = attrs.field(factory=dict)
    digest_sum: int = 0
    changes: tuple = ()

    @property
    def digest(self):
        """Digest of the list."""
        return self.digest_sum.to_bytes(_DIGEST_BYTES, 'big')

    def find_change(self, revision, instances):
        """Return the `Change` from this list to `instances` at `revision`."""
        names = {instance.name for instance in instances}
        changed = tuple(
            instance
            for instance in instances
            if self.by_name.get(instance.name) != instance
        )
        removed = tuple(name for name in self.by_name if name not in names)
        return Change(self.revision, revision, changed, removed)

    def apply(self, change):
        """Return the list after `change`.

        Raises:
            errors.PeerError: the change applies to another revision.
        """
        if change.base_revision != self.revision:
            raise errors.PeerError(
                f'change starts from {change.base_revision}, not '
                f'{self.revision}',
                step='apply-change',
            )
        by_name = dict(self.by_name)
        digest_sum = self.digest_sum
        for name in change.removed:
            digest_sum -= _compute_digest(by_name.pop(name, None))
        for instance in change.changed:
            digest_sum -= _compute_digest(by_name.get(instance.name))
            digest_sum += _compute_digest(instance)
            by_name[instance.name] = instance
        digest_sum %= 256**_DIGEST_BYTES
        changes = (*self.changes, change)[-MAX_CHANGES:]
        return Listing(change.revision, by_name, digest_sum, changes)

    def make_update(self, after_revision):
        """See `base.BaseReplica.make_update`."""
        if self.revision <= after_revision:
            return base.Update(TOPIC, self.revision)
        tail = None
        for position, change in enumerate(self.changes):
            if change.base_revision == after_revision:
                tail = self.changes[position:]
        if tail is None or sum(_count_entries(c) for c in tail) >= len(
            self.by_name
        ):
            return base.Update(
                TOPIC,
                self.revision,
                document=zlib.compress(self.to_bytes()),
                digest=self.digest,
            )
        return base.Update(
            TOPIC,
            self.revision,
            after_revision,
            tuple(change.to_bytes() for change in tail),
            digest=self.digest,
        )

    def apply_update(self, update):
        """Return the list after an `Update` that is newer.

        Raises:
            errors.PeerError: the update does not apply to this list.
        """
        try:
            listing = self._decode_update(update)
        except (ValueError, KeyError, TypeError, zlib.error) as exc:
            raise errors.PeerError(
                f'instance list {update.revision} is malformed: {exc!r}',
                step='apply-update',
            ) from exc
        if (listing.revision, listing.digest) != (
            update.revision,
            update.digest,
        ):
            raise errors.PeerError(
                f'instance list {update.revision} does not match its digest',
                step='apply-update',
            )
        return listing

    def to_bytes(self):
        """Return the whole list as JSON."""
        items = [item.to_listing() for item in self.by_name.values()]
        value = {'revision': self.revision, 'instances': items}
        return json.dumps(value, separators=(',', ':')).encode()

    def _decode_update(self, update):
        if update.document:
            inflater = zlib.decompressobj()
            text = inflater.decompress(update.document, MAX_DOCUMENT_BYTES)
            return read_listing(text)
        listing = self
        for line in update.edits:
            change = Change.from_bytes(line)
            if change.revision > listing.revision:
                listing = listing.apply(change)
        return listing


def read_listing(text):
    """Decode a `Listing` from a reply of the platform or a document.

    Raises:
        errors.PeerError: the text is not a valid instance list.
    """
    try:
        value = checks.load_json(text, _read_instance)
        instances = value['instances']
        if not all(isinstance(i, _instance.Instance) for i in instances):
            raise ValueError('an item is not an instance')
        revision = checks.check_count(value['revision'], 'revision')
        change = Listing().find_change(revision, instances)
    except (ValueError, KeyError, TypeError) as exc:
        raise errors.PeerError(
            f'invalid instance list: {exc!r}', step='read-listing'
        ) from exc
    listing = Listing().apply(change)
    return attrs.evolve(listing, changes=())


def _read_instance(value):
    """Convert the mapping of an instance while the JSON is decoded.

    The mappings of 10,000 instances together need twice the memory of the
    instances, which a process never returns to the system.
    """
    if 'instances' in value:
        return value
    return _instance.Instance.from_listing(value)


def _compute_digest(instance):
    if instance is None:
        return 0
    digest = hashlib.blake2b(
        instance.to_canonical_json(), digest_size=_DIGEST_BYTES
    )
    return int.from_bytes(digest.digest(), 'big')


def _count_entries(change):
    return len(change.changed) + len(change.removed)
