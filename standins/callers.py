"""Callers of a deployment, and what they may expect of it.

Each caller sends one request after another through the balancer and comes
back, with the same idempotency key, when a connection breaks. It knows the
only right answer to each of its requests.
"""

import collections
import json
import random
import threading
import time

import attrs

from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.httpio import headers
from standins import engine

ANSWERED = 'answered'
REFUSED = 'refused'
LOST = 'lost'
WRONG = 'wrong'
DEADLINE_S = 10.0
PAUSE_S = 0.05
MAX_THINK_S = 0.1
_GENERATE_SHARE = 0.6
_BOOKING_SHARE = 0.25
_AVOID_S = 2.0
_PIECES = 6


class Balancer:
    """Stand-in for the platform's balancer: entries in turn."""

    def __init__(self, addresses):
        self._addresses = list(addresses)
        self._avoid = {}
        self._next = 0
        self._lock = threading.Lock()

    def choose(self, now):
        """Return the next entry that has not just failed."""
        with self._lock:
            for _ in self._addresses:
                self._next = (self._next + 1) % len(self._addresses)
                address = self._addresses[self._next]
                if self._avoid.get(address, 0.0) <= now:
                    return address
            return address

    def fail(self, address, now):
        """Leave `address` alone for a while."""
        with self._lock:
            self._avoid[address] = now + _AVOID_S


@attrs.frozen(kw_only=True)
class Sent:
    """One request and how it ended.

    Attributes:
        kind: ``generate``, ``booking`` or ``read``.
        account: who asked.
        order: the booking's order, or empty.
        outcome: answered, refused, lost or wrong.
        duration_s: from the first try to the end.
        detail: why it was not answered.
    """

    kind: str
    account: str
    order: str
    outcome: str
    duration_s: float
    detail: str = ''


class Callers:
    """Runs the callers of all accounts until stopped.

    Args:
        deployed: a `deployment.Deployment`.
        balancer: a `Balancer`.
        random_state: seed of what is asked and when.
    """

    def __init__(self, deployed, balancer, random_state=0):
        self.deployed = deployed
        self.balancer = balancer
        self.random_state = random_state
        self.sent = []
        self._stopped = threading.Event()
        self._threads = []

    def start(self):
        """Begin to call; returns self."""
        for account in self.deployed.accounts:
            for index in range(account.callers):
                thread = threading.Thread(
                    target=self._run, args=(account.name, index), daemon=True
                )
                thread.start()
                self._threads.append(thread)
        return self

    def stop(self):
        """Let the requests in progress end."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(DEADLINE_S * 2)

    def probe(self, address):
        """Return a text for each service that an entry does not answer for."""
        probe = Callers(self.deployed, Balancer([address]))
        sent = [
            probe._ask('probe', f'probe {address}'),
            probe._read('probe', self.deployed.booking_service),
            probe._read('probe', self.deployed.portal_service),
        ]
        return [
            f'{item.outcome} {item.kind}: {item.detail}'
            for item in sent
            if item.outcome != ANSWERED
        ]

    def report(self, bookings):
        """Count outcomes; `bookings` is what the booking service has run.

        Returns:
            A mapping with requests, answered, refused, lost, doubled,
            wrong, p50_ms and p99_ms.
        """
        sent = list(self.sent)
        outcomes = collections.Counter(item.outcome for item in sent)
        for item in sent:
            if item.order and _contradicts(item, bookings[item.order]):
                outcomes[item.outcome] -= 1
                outcomes[WRONG] += 1
        doubled = sum(count > 1 for count in bookings.values())
        durations = sorted(
            item.duration_s for item in sent if item.outcome == ANSWERED
        )
        return {
            'requests': len(sent),
            'answered': outcomes[ANSWERED],
            'refused': outcomes[REFUSED],
            'lost': outcomes[LOST],
            'doubled': doubled,
            'wrong': outcomes[WRONG],
            'p50_ms': _percentile_ms(durations, 0.5),
            'p99_ms': _percentile_ms(durations, 0.99),
        }

    def _run(self, account, index):
        rng = random.Random(f'{self.random_state}/{account}/{index}')
        number = 0
        while not self._stopped.wait(rng.random() * MAX_THINK_S):
            number += 1
            name = f'{account}/{index}/{number}'
            self.sent.append(self._send(account, name, rng.random()))

    def _send(self, account, name, draw):
        if draw < _GENERATE_SHARE:
            return self._ask(account, name)
        if draw < _GENERATE_SHARE + _BOOKING_SHARE:
            return self._book(account, name)
        return self._read(account, self.deployed.portal_service)

    def _read(self, account, service):
        path = f'/{service.name}/stock'
        return self._call('read', account, '', 'GET', path, None, _is_stock)

    def _ask(self, account, name):
        model = self.deployed.model
        prompt = f'question {name}'
        body = {'model': model, 'prompt': prompt, 'max_pieces': _PIECES}
        service = self.deployed.model_service.name
        return self._call(
            'generate',
            account,
            '',
            'POST',
            f'/{service}/generate',
            body,
            lambda reply: _is_answer(reply, model, prompt),
        )

    def _book(self, account, name):
        service = self.deployed.booking_service.name
        return self._call(
            'booking',
            account,
            name,
            'POST',
            f'/{service}/bookings',
            {'order': name},
            lambda reply: json.loads(reply.body) == {'booked': name},
        )

    def _call(self, kind, account, order, method, path, body, is_right):
        """Send one request, again if it may have been cut, to its end."""
        begin = time.monotonic()
        sent = Sent(
            kind=kind, account=account, order=order, outcome=LOST, duration_s=0
        )
        data = None if body is None else json.dumps(body).encode()
        detail = 'no entry'
        while (now := time.monotonic()) < begin + DEADLINE_S:
            left_s = begin + DEADLINE_S - now
            address = self.balancer.choose(now)
            fields = _fields(account, order, left_s)
            try:
                reply = httpio.exchange(
                    address, method, path, data, fields, left_s
                )
            except errors.RequestError as exc:
                self.balancer.fail(address, now)
                detail = str(exc)
                time.sleep(PAUSE_S)
                continue
            outcome, detail = _judge(reply, is_right)
            if outcome != LOST:
                break
            time.sleep(PAUSE_S)
        else:
            outcome = LOST
        return attrs.evolve(
            sent,
            outcome=outcome,
            duration_s=time.monotonic() - begin,
            detail=detail,
        )


def _fields(account, order, left_s):
    fields = {
        headers.ACCOUNT: account,
        headers.DEADLINE_MS: str(max(1, int(left_s * 1000))),
        'Content-Type': 'application/json',
    }
    if order:
        fields[headers.IDEMPOTENCY_KEY] = order
    return fields


def _judge(reply, is_right):
    """Return the outcome that one reply gives, and its detail.

    An error that does not say ``not run`` leaves the outcome open: the
    caller comes back with the same key.
    """
    text = reply.body[:200].decode(errors='replace')
    if reply.status in (200, 201):
        try:
            right = is_right(reply)
        except (ValueError, KeyError, TypeError):
            right = False
        return (ANSWERED, '') if right else (WRONG, text)
    try:
        ran = json.loads(reply.body)['error']['ran']
    except (ValueError, KeyError, TypeError):
        return WRONG, f'{reply.status} {text}'
    return (REFUSED if ran == 'no' else LOST), text


def _is_answer(reply, model, prompt):
    """Return whether `reply` is the whole answer from one version."""
    version = reply.headers['Model-Version']
    expected = engine.answer_pieces(model, version, prompt, _PIECES)
    lines = [json.loads(line) for line in reply.body.splitlines()]
    end = lines.pop()
    if not end.get('done') or end.get('pieces') != _PIECES:
        return False
    texts = [line['text'] for line in lines]
    order = [line['index'] for line in lines]
    return texts == expected and order == list(range(_PIECES))


def _is_stock(reply):
    return 'stock' in json.loads(reply.body)


def _contradicts(item, ran):
    """Return whether an outcome told of a booking is not what happened."""
    if item.outcome == ANSWERED:
        return ran == 0
    return item.outcome == REFUSED and ran > 0


def _percentile_ms(durations, share):
    if not durations:
        return None
    index = min(len(durations) - 1, int(share * len(durations)))
    return round(durations[index] * 1000, 1)
