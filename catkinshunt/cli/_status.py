"""Prints the status that every instance reports."""

import collections
import concurrent.futures
import json
import sys
import time

import attrs

from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt import settings

_MAX_WORKERS = 32
_UNKNOWN = '-'


@attrs.frozen
class Row:
    """One row of the status table, for one instance.

    Attributes:
        name: name of the instance.
        service: service of its upstream; ``entry`` for an entry.
        data_centre: data centre of the instance.
        state: the state that it reports, else that in the platform's list.
        revision: configuration revision in force there; None if it did not
            respond.
        wanted: pairs of model and version that a rule places there.
        served: pairs of model and version that it serves.
    """

    name: str
    service: str
    data_centre: str
    state: str
    revision: int | None = None
    wanted: tuple = ()
    served: tuple = ()


def status(path, watch, every_s):
    """Print the status; with `watch` repeat it until every replica serves."""
    cfg = settings.load_settings(path, settings.OperatorSettings)
    while True:
        accepted = _accepted_revision(cfg)
        rows = read_rows(cfg)
        for line in table(rows):
            print(line)
        done = _print_revision(rows, accepted)
        done = _print_progress(rows) and done
        sys.stdout.flush()
        if done or not watch:
            return 0
        time.sleep(every_s)


def _accepted_revision(cfg):
    """Return the latest accepted revision, or None in an outage."""
    from catkinshunt import configuration
    from catkinshunt import kvstore

    address = httpio.Address.parse(cfg.platform.key_value)
    store = kvstore.HttpKeyValueStore(address, cfg.timeout_s)
    try:
        return configuration.Editor(store).read().revision
    except errors.StoreError:
        return None


def read_rows(cfg):
    """Return the rows of all instances in the platform's list, sorted.

    Raises:
        errors.RequestError: the list cannot be read.
    """
    address = httpio.Address.parse(cfg.platform.instance_list)
    reply = httpio.exchange(
        address, 'GET', '/instances', timeout_s=cfg.timeout_s
    )
    if reply.status != 200:
        raise errors.RequestError(
            f'status {reply.status}', step='list instances', peer=str(address)
        )
    listed = json.loads(reply.body)['instances']
    with concurrent.futures.ThreadPoolExecutor(_MAX_WORKERS) as executor:
        rows = executor.map(lambda item: _read_row(cfg, item), listed)
        return sorted(rows, key=lambda row: (row.service, row.name))


def _read_row(cfg, item):
    row = Row(
        item['name'],
        item.get('service') or 'entry',
        item['data_centre'],
        f'{item["state"]} (no answer)',
    )
    own = item.get('operator_address')
    host = httpio.Address.parse(item['address']).host
    address = httpio.Address(host, cfg.operator_port)
    if own:
        address = httpio.Address.parse(own)
    try:
        reply = httpio.exchange(
            address, 'GET', '/status', timeout_s=cfg.timeout_s
        )
        value = json.loads(reply.body)
        return attrs.evolve(
            row,
            state=value['state'],
            revision=value['revision'],
            wanted=_sort_pairs(value['wanted']),
            served=_sort_pairs(value['served']),
        )
    except (errors.RequestError, ValueError, KeyError, TypeError):
        return row


def _sort_pairs(models):
    return tuple(sorted((model, version) for model, version in models.items()))


def table(rows):
    """Return the lines of a table of `rows`.

    Examples:
        >>> for line in table([Row('r-1', 'desk', 'larisa-a', 'serving', 3)]):
        ...     print(line)
        instance  service  data centre  state    revision  serves
        r-1       desk     larisa-a     serving  3         -
    """
    head = (
        'instance',
        'service',
        'data centre',
        'state',
        'revision',
        'serves',
    )
    cells = [head] + [_cells(row) for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return ['  '.join(map(str.ljust, line, widths)).rstrip() for line in cells]


def _cells(row):
    served = ' '.join(f'{model}@{version}' for model, version in row.served)
    revision = _UNKNOWN if row.revision is None else str(row.revision)
    return (
        row.name,
        row.service,
        row.data_centre,
        row.state,
        revision,
        served or _UNKNOWN,
    )


def _print_revision(rows, accepted):
    """Print how many instances have the accepted revision.

    An instance with an older revision reports what the older rules place
    there, so a rollout would look complete before it began.

    Returns:
        Whether it is in force at all instances that responded.
    """
    known = [row.revision for row in rows if row.revision is not None]
    if accepted is None:
        print('the key-value service does not answer; highest seen is')
        accepted = max(known, default=0)
    count = sum(revision >= accepted for revision in known)
    print(f'revision {accepted}: in force at {count} of {len(rows)} instances')
    return count == len(known)


def _print_progress(rows):
    """Print how many wanted replicas serve; return whether all do."""
    wanted = collections.Counter()
    done = collections.Counter()
    for row in rows:
        wanted.update(row.wanted)
        done.update(set(row.wanted) & set(row.served))
    for pair, count in sorted(wanted.items()):
        print(f'{pair[0]}@{pair[1]}: {done[pair]} of {count} replicas serve')
    unresponsive = sum(row.revision is None for row in rows)
    if unresponsive:
        print(f'{unresponsive} of {len(rows)} instances gave no answer')
    return not unresponsive and done == wanted
