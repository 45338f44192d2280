"""One revision of the list of instances, and the way to the next."""

import hashlib
import json
import zlib

import attrs

from catkinshunt import checks
from catkinshunt.dissemination import base
from catkinshunt import errors
from catkinshunt.instances import _instance

#: Name of the document among those that processes hand on.
TOPIC = 'instances'
#: Changes kept, for processes that are a few revisions behind.
KEPT_CHANGES = 64
#: Guards against a small message that unfolds into a huge list.
MAX_DOCUMENT_BYTES = 32_000_000
_DIGEST_BYTES = 32


@attrs.frozen
class Change:
    """What leads from one revision of the list to a later one.

    Args:
        base_revision: revision that it starts from.
        revision: revision that it leads to.
        changed: instances that are new or other than before.
        gone: names of instances that the list shows no more.
    """

    base_revision: int
    revision: int
    changed: tuple = ()
    gone: tuple = ()

    @classmethod
    def from_bytes(cls, line):
        """Read what `to_bytes` wrote."""
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
            'gone': list(self.gone),
        }
        return json.dumps(value, separators=(',', ':')).encode()


@attrs.frozen(eq=False)
class Listing:
    """The instances at one revision of the platform's list.

    Args:
        revision: the platform's revision of its list.
        by_name: instances by name.
        total: sum of the instances' digests. Unlike a digest of the whole
            list it follows from the one before and a change, so that a
            change of one instance does not cost a pass over all of them.
        changes: the last changes, oldest first, each from where the one
            before it led.
    """

    revision: int = 0
    by_name: dict = attrs.field(factory=dict)
    total: int = 0
    changes: tuple = ()

    @property
    def digest(self):
        """Equal for equal lists."""
        return self.total.to_bytes(_DIGEST_BYTES, 'big')

    def find_change(self, revision, instances):
        """Return the `Change` that leads to `instances` at `revision`."""
        names = {instance.name for instance in instances}
        changed = tuple(
            instance
            for instance in instances
            if self.by_name.get(instance.name) != instance
        )
        gone = tuple(name for name in self.by_name if name not in names)
        return Change(self.revision, revision, changed, gone)

    def changed(self, change):
        """Return the list after `change`.

        Raises:
            errors.PeerError: the change starts from another revision.
        """
        if change.base_revision != self.revision:
            raise errors.PeerError(
                f'change starts from {change.base_revision}, not '
                f'{self.revision}',
                step='apply-change',
            )
        by_name = dict(self.by_name)
        total = self.total
        for name in change.gone:
            total -= _hash(by_name.pop(name, None))
        for instance in change.changed:
            total -= _hash(by_name.get(instance.name))
            total += _hash(instance)
            by_name[instance.name] = instance
        total %= 256**_DIGEST_BYTES
        changes = (*self.changes, change)[-KEPT_CHANGES:]
        return Listing(change.revision, by_name, total, changes)

    def make_update(self, after_revision):
        """See `base.BaseReplica.make_update`."""
        if self.revision <= after_revision:
            return base.Update(TOPIC, self.revision)
        tail = None
        for position, change in enumerate(self.changes):
            if change.base_revision == after_revision:
                tail = self.changes[position:]
        if tail is None or sum(_size(c) for c in tail) >= len(self.by_name):
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

    def updated(self, update):
        """Return the list after an `Update` that is newer.

        Raises:
            errors.PeerError: the update does not fit this list.
        """
        try:
            found = self._follow(update)
        except (ValueError, KeyError, TypeError, zlib.error) as exc:
            raise errors.PeerError(
                f'list {update.revision} cannot be read: {exc!r}',
                step='apply-update',
            ) from exc
        if (found.revision, found.digest) != (update.revision, update.digest):
            raise errors.PeerError(
                f'list {update.revision} leads to other instances',
                step='apply-update',
            )
        return found

    def to_bytes(self):
        """Return the whole list as JSON."""
        items = [item.to_listing() for item in self.by_name.values()]
        value = {'revision': self.revision, 'instances': items}
        return json.dumps(value, separators=(',', ':')).encode()

    def _follow(self, update):
        if update.document:
            inflater = zlib.decompressobj()
            text = inflater.decompress(update.document, MAX_DOCUMENT_BYTES)
            return read_listing(text)
        found = self
        for line in update.edits:
            change = Change.from_bytes(line)
            if change.revision > found.revision:
                found = found.changed(change)
        return found


def read_listing(text):
    """Return the `Listing` in the platform's answer or a peer's document.

    Raises:
        errors.PeerError: the text is no list of instances.
    """
    try:
        value = checks.load_json(text, _read_instance)
        instances = value['instances']
        if not all(isinstance(i, _instance.Instance) for i in instances):
            raise ValueError('something else than an instance')
        revision = checks.check_count(value['revision'], 'revision')
        change = Listing().find_change(revision, instances)
    except (ValueError, KeyError, TypeError) as exc:
        raise errors.PeerError(
            f'not a list of instances: {exc!r}', step='read-listing'
        ) from exc
    found = Listing().changed(change)
    return attrs.evolve(found, changes=())


def _read_instance(value):
    """Make an instance of its mapping as soon as that is read.

    The mappings of 10,000 instances together take twice the memory of the
    instances, and a process never gives it back.
    """
    if 'instances' in value:
        return value
    return _instance.Instance.from_listing(value)


def _hash(instance):
    if instance is None:
        return 0
    digest = hashlib.blake2b(
        instance.to_canonical_json(), digest_size=_DIGEST_BYTES
    )
    return int.from_bytes(digest.digest(), 'big')


def _size(change):
    return len(change.changed) + len(change.gone)
