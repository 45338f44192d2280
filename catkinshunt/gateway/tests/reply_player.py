"""Plays the bytes of upstreams to a gateway without sockets, at once.

The exchange, its attempts and relays, the pool and the connections to the
upstreams are the real ones; the transports and the clock are not.
"""

import asyncio
import random
import socket

import attrs

from catkinshunt import availability
from catkinshunt import catalog as catalogs
from catkinshunt import dispatch
from catkinshunt import gateway
from catkinshunt.gateway import _exchange
from catkinshunt.gateway.tests import harness
from catkinshunt.gateway.tests import reply_wire
from catkinshunt.gateway.tests import spoilt_replies
from catkinshunt import http1
from catkinshunt import permits
from catkinshunt import platform
from catkinshunt.platform import _dialect
from catkinshunt import rate_limits
from catkinshunt import rules

#: Time of the gateway between two requests, in seconds.
PAUSE_S = 0.1
#: Delay in seconds of what reaches a connection that is idle.
IDLE_S = 0.02
#: Seconds between two actions that are due at the same time.
ORDER_S = 1e-8
DEADLINE_S = 2.0
#: Fill the ids of requests and the bodies of their replies. No change of one
#: bit makes one of another.
LETTERS = (b'W', b'K', b'Q', b'Z')
PATHS = {'plain': '/read/1', 'failure': '/read/1', 'stream': '/chat/1'}


@attrs.frozen
class Extra:
    """A second reply on a connection.

    Attributes:
        place: `'idle'`, `'unread'` (it lies in the socket as the connection
            is taken), `'before'`, `'joined'` (in the first segment of the
            reply), `'after'` or `'follows'` (in its last segment).
        which: which reply of that connection, modulo their number.
        spoils: the `spoilt_replies.Spoil` of its bytes.
    """

    place: str
    which: int = 0
    spoils: tuple = ()


@attrs.frozen
class Plan:
    """What the first attempt of one request meets.

    Attributes:
        shape: `spoilt_replies.Shape` of its true answer.
        spoils: `spoilt_replies.Spoil` of its bytes.
        extra: an `Extra`, or None.
        splits: where segments end, in thousandths of the bytes.
        gap_s: seconds between segments; 0 for one after another.
        end: what follows: `'keep'`, `'eof'` or `'reset'`.
        once: whether the request must not run twice.
        resumed: last event that the caller has already.
    """

    shape: spoilt_replies.Shape = spoilt_replies.Shape()
    spoils: tuple = ()
    extra: Extra | None = None
    splits: tuple = ()
    gap_s: float = 0.0
    end: str = 'keep'
    once: bool = False
    resumed: int = 0


@attrs.define
class Outcome:
    """What one caller got, beside what its upstreams answered.

    Attributes:
        answers: the `spoilt_replies.Answer` of each attempt.
        took_s: seconds until the end.
        ended_s: seconds until the connection of its last attempt ended, or
            None.
        due: bytes of its replies that had not arrived at the end.
        kept_bytes: most bytes that a connection held at once.
        error: unexpected exception of its exchange, or None.
    """

    plan: Plan
    request_id: str
    letter: bytes
    answers: list = attrs.field(factory=list)
    data: bytes = b''
    aborted: bool = False
    took_s: float = 0.0
    ended_s: float | None = None
    due: int = 0
    kept_bytes: int = 0
    error: Exception | None = None


def describe_request(outcome):
    """Return method, path and header items of the request of an `Outcome`."""
    plan = outcome.plan
    items = [
        ('Host', harness.HOST),
        (_dialect.REQUEST_ID, outcome.request_id),
        (_dialect.API_KEY, 'k1'),
        (_dialect.DEADLINE, str(int(DEADLINE_S * 1000))),
        (_dialect.LAST_EVENT, str(plan.resumed or '')),
    ]
    if plan.once:
        return 'POST', '/book/1', items
    return 'GET', PATHS.get(plan.shape.kind, '/read/1'), items


def make_rules():
    """Return rules with one service, so that all requests share its pool."""
    shares = [catalogs.Share('plain', 1)]
    return rules.RuleSet(harness.make_rules(shares=shares))


class Player:
    """Plays series of requests; each has a gateway of its own."""

    def __init__(self, loop):
        self.loop = loop
        self.quiet = socket.socketpair()
        self.readable = socket.socketpair()
        self.readable[1].send(b'x')
        self.declaration = harness.make_declaration(rule_set=make_rules())
        self.dialect = platform.PlatformDialect()
        self.outcomes = {}
        self.wires = []
        self.current = None
        self.opened = 0
        self._handles = []

    def close(self):
        for sock in (*self.quiet, *self.readable):
            sock.close()

    def play(self, plans, upstreams=1):
        """Return the `Outcome` of each plan, played one after another.

        Args:
            plans: a `Plan` for each request.
            upstreams: number of upstreams that may be asked.
        """
        self.outcomes = {}
        try:
            return self.loop.run_until_complete(self._play(plans, upstreams))
        finally:
            for handle in self._handles:
                handle.cancel()
            self._handles.clear()

    def later(self, delay_s, function, *args):
        # The loop may swap what is due at the same time.
        delay_s += len(self._handles) * ORDER_S
        self._handles.append(self.loop.call_later(delay_s, function, *args))

    def measure(self, conn):
        held = conn._buffered_bytes + sum(
            len(name) + len(value) for name, value in conn._items
        )
        outcome = self.current
        outcome.kept_bytes = max(outcome.kept_bytes, held)

    async def _play(self, plans, upstreams):
        context = self._make_context(upstreams)
        for number, plan in enumerate(plans):
            outcome = self.current = self.begin(number, plan)
            context.catalog.confirm(self.loop.time())
            await self._ask(context, outcome)
            await asyncio.sleep(PAUSE_S)
        self.opened += sum(pool.opened for pool in context._pools.values())
        for pool in context._pools.values():
            pool.close_idle()
        await asyncio.sleep(0)
        return list(self.outcomes.values())

    async def _ask(self, context, outcome):
        caller = reply_wire.Caller()
        method, path, items = describe_request(outcome)
        begin = self.loop.time()
        req = http1.Request(method, path, http1.Headers(items), b'', begin)
        try:
            await _exchange.Exchange(context, caller, req).run()
        except Exception as exc:
            # The listener logs it and aborts the connection.
            outcome.error = exc
            caller.abort()
        outcome.data, outcome.aborted = caller.data, caller.aborted
        outcome.took_s = self.loop.time() - begin
        outcome.due = sum(wire.due for wire in self.wires)

    def begin(self, number, plan):
        """Return the `Outcome` of the next request."""
        letter = LETTERS[number]
        outcome = Outcome(plan, (letter * 4).decode(), letter)
        self.outcomes[outcome.request_id] = outcome
        self.wires = []
        return outcome

    def answer(self, wire, head):
        """Send what the plan of a request says."""
        outcome = self.outcomes[harness.header(head, _dialect.REQUEST_ID)]
        plan, attempt = outcome.plan, len(outcome.answers)
        answer = spoilt_replies.Answer(
            outcome.request_id,
            outcome.letter,
            attempt,
            plan.shape,
            spoilt_replies.last_event_id(head) + 1,
        )
        outcome.answers.append(answer)
        self.wires.append(wire)
        whole = answer.marked()
        wire.history.append((answer, whole))
        if attempt:
            wire.due = len(whole)
            self.later(0.001, wire.deliver, whole.data, len(whole))
            if plan.shape.framing == 'close':
                self.later(0.002, wire.end, None)
            return
        data, answer.touched = spoilt_replies.spoil(whole, plan.spoils)
        self._send(wire, plan, data.data, outcome)

    def _send(self, wire, plan, data, outcome):
        place, late = None, b''
        if plan.extra is not None:
            place = plan.extra.place
            which = plan.extra.which % len(wire.history)
            answer, whole = wire.history[which]
            marked, touched = spoilt_replies.spoil(whole, plan.extra.spoils)
            late = marked.data
            if answer in outcome.answers:
                # It may be taken for the first one, which was spoilt.
                answer.touched |= touched
        at_s = 0.001
        if place == 'before':
            self.later(at_s, wire.deliver, late)
            at_s += 0.001
        before = late if place == 'joined' else b''
        after = late if place == 'follows' else b''
        cuts = sorted(len(data) * cut // 1000 for cut in plan.splits)
        parts = [
            data[begin:end]
            for begin, end in zip([0, *cuts], [*cuts, len(data)], strict=True)
        ]
        sizes = [len(part) for part in parts]
        parts[0] = before + parts[0]
        parts[-1] += after
        wire.due = len(data)
        for part, size in zip(parts, sizes, strict=True):
            if part:
                self.later(at_s, wire.deliver, part, size)
            at_s += plan.gap_s
        if place == 'after':
            self.later(at_s, wire.deliver, late)
        elif place == 'idle':
            self.later(at_s + IDLE_S, wire.deliver, late)
        elif place == 'unread':
            self.later(at_s + IDLE_S, setattr, wire, 'unread', late)
        if plan.end != 'keep':
            exc = ConnectionResetError() if plan.end == 'reset' else None
            self.later(at_s + 0.001, wire.end, exc)
            outcome.ended_s = at_s + 0.001

    def _make_context(self, upstreams):
        clock = self.loop.time
        catalog = catalogs.Catalog(key_trust_s=3.0)
        entries = catalogs.LiveEntries()
        entries.replace(['entry-1'])
        context = gateway.Context(
            catalog=catalog,
            dialect=self.dialect,
            chooser=dispatch.Chooser('larisa-a', {}),
            clock=clock,
            boot_clock=clock,
            retry_ratio=0.1,
            retry_burst=10.0,
            random=random.Random(3),
            metrics=gateway.GatewayMetrics(),
            permit_client=permits.PermitClient(0, clock, random.Random(3)),
            rate_limiter=rate_limits.RateLimiter(
                'entry-1', entries, catalog, random.Random(3)
            ),
            availability=availability.AvailabilityTable('entry-1'),
        )
        catalog.declare(self.declaration)
        for number in range(1, upstreams + 1):
            upstream = catalogs.Upstream(
                id=f'plain-{number}',
                service='plain',
                address=(f'127.0.0.{number}', 9),
                data_centre='larisa-a',
                versions=None,
                slots=4,
            )
            catalog.put_upstream(upstream)
            pool = reply_wire.WirePool(*upstream.address, clock)
            pool.player = self
            context._pools[upstream.key] = pool
        return context
