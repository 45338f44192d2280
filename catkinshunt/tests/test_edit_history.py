"""Edits and reads of racing operators have a sequential order."""

from concurrent import futures
import random
import threading

import pytest

from catkinshunt import configuration
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt import kvstore
from catkinshunt.tests import histories
from standins import key_value

SEED = 7
OPERATORS = 4
EDITS = 6


@pytest.fixture
def service():
    made = key_value.KeyValueService()
    with httpio.HttpServer(made.app, threads=16) as server:
        made.address = httpio.Address('127.0.0.1', server.port)
        yield made


def test_edits_and_reads_have_a_sequential_order(service):
    """Operators edit at once while answers get lost and the service is down.

    An edit told as accepted must stay, one told as a conflict must never
    appear, and no read may go back to an earlier revision.
    """
    recorder = histories.Recorder()
    stop = threading.Event()
    # All operators see the same revision before the first of them edits.
    seen = threading.Barrier(OPERATORS + 1)
    faults = threading.Thread(target=_bring_faults, args=(service, stop, seen))
    faults.start()
    with futures.ThreadPoolExecutor(OPERATORS) as pool:
        list(pool.map(lambda who: _edit(recorder, service, who, seen), 'abcd'))
    stop.set()
    faults.join()
    assert _read(recorder, _editor(service), 'last').encoded_rules
    histories.check(recorder.operations, histories.Register())


def _bring_faults(service, stop, seen):
    rng = random.Random(SEED)
    seen.wait()
    while not stop.wait(0.02):
        kind = rng.randrange(3)
        service.faults.down = kind == 0
        service.faults.lose_answers = 2 if kind == 1 else 0
    service.faults.down = False
    service.faults.lose_answers = 0


def _editor(service):
    store = kvstore.HttpKeyValueStore(service.address)
    return configuration.Editor(store, tries=3, pause_s=0.01)


def _edit(recorder, service, who, seen):
    editor = _editor(service)
    left = EDITS
    current = _read(recorder, editor, who)
    seen.wait()
    while left:
        if current is None:
            current = _read(recorder, editor, who)
            continue
        name = f'{who}-{left}'
        rule = {
            'name': name,
            'when': {'request': {'account': name}},
            'then': {'refuse': {'reason': 'x', 'retry_after_s': 1}},
        }
        before = current.revision
        value = (*_names(current), name)
        with recorder.call(who, 'write', before, value) as operation:
            try:
                edited = editor.add(rule, expected_revision=before)
            except errors.ConflictError:
                recorder.complete(operation, None)
                current = None
                continue
            except errors.StoreError:
                # Whether it took effect is not told, or it did not.
                pass
            else:
                recorder.complete(operation, edited.revision)
        left -= 1
        current = None


def _read(recorder, editor, who):
    with recorder.call(who, 'read') as operation:
        try:
            current = editor.read()
        except errors.StoreError:
            recorder.operations.remove(operation)
            return None
        result = (current.revision, _names(current) or None)
        recorder.complete(operation, result)
    return current


def _names(current):
    return tuple(item.rule.name for item in current.encoded_rules)
