"""Requests that meet a change at one of their stages."""

import asyncio
import contextlib
import enum

import attrs

from catkinshunt import catalog as catalogs
from catkinshunt.gateway.tests import harness
from catkinshunt.gateway.tests import test_availability
from catkinshunt.gateway.tests import test_permits
from catkinshunt.gateway.tests import test_streams
from catkinshunt import http1
from catkinshunt import permits
from catkinshunt import rules

EVENTS = 5
#: Events that a stream sends before its change.
EVENTS_BEFORE = 2
#: Attempts that the rules allow; as many engines as that are running.
MAX_TRIES = 3
#: Fields of the actions of all rules.
FIELDS = {'max_tries': MAX_TRIES, 'timeout_s': 12.0}
GRACE_S = 4.0
#: Seconds until a version becomes due, once it is announced so late.
DUE_IN_S = 0.1
MOVED_TO = 'moved'


class Stage(enum.Enum):
    """Stage of a request."""

    READ = 'read'
    ASKED = 'asks for a permit'
    PERMIT = 'queued for a permit'
    CONNECTING = 'permitted, not sent'
    QUEUED = 'queued at its engine'
    HEAD = 'runs, no event yet'
    STREAMING = 'streams'
    RESUMING = 'asks for a permit to resume'
    RESUMED = 'resumed elsewhere'


class Outcome(enum.Enum):
    """How a request ended for its client."""

    WHOLE = 'whole answer'
    REFUSED = 'refused, not run'
    UNTRUE = 'refused, but run'
    DENIED = 'denied'
    UNKNOWN = 'outcome unknown'
    CUT = 'no complete answer'
    WRONG = 'wrong answer'
    MISSED = 'ended before its change'


@attrs.frozen
class Change:
    """Something that happens while a request is at a stage.

    Attributes:
        apply: function of the `Trial`, or None.
        hold_s: seconds until the request may go on.
        disturb: coroutine function of (writer) of the engine that works for
            the request or is the first to get it, or None.
        left_ms: time that the client waits, in milliseconds.
        others_queue: whether other engines do not answer meanwhile.
    """

    apply: object = None
    hold_s: float = 0.3
    disturb: object = None
    left_ms: str = '12000'
    others_queue: bool = False


async def _sleep(writer, seconds):
    await asyncio.sleep(seconds)


async def _reset(writer):
    writer.transport.abort()
    await asyncio.sleep(60)


def silence(seconds):
    """Return a `disturb` function of an engine that is silent."""
    return lambda writer: _sleep(writer, seconds)


def editing(**changes):
    """Return a `Change` of the declaration."""
    return Change(lambda trial: trial.gateway.declare(**changes))


def change_rules(**changes):
    """Return a rule set with changed fields of each action."""
    return rules.RuleSet(harness.make_rules(**{**FIELDS, **changes}))


def add_routes(count):
    """Return a rule set with as many rules in front."""
    known = harness.make_rules(**FIELDS)
    more = [
        rules.Rule(
            f'more-{number}',
            rules.When(
                'request',
                [
                    rules.Clause('host', rules.Equal(harness.HOST)),
                    rules.Clause('path', rules.Prefix(f'/more/{number}/')),
                ],
            ),
            known[0].then,
        )
        for number in range(count)
    ]
    return rules.RuleSet(more + known)


def announce(trial, due_in_s):
    """Announce a version that becomes due in `due_in_s` seconds."""
    context = trial.gateway.context
    context.version_grace_s = GRACE_S
    now = context.boot_clock()
    trial.due_at = now + due_in_s
    context.catalog.add_announced_version(
        harness.MODEL, 2, trial.due_at - GRACE_S
    )


def stop(trial):
    """Let the entry get the stop signal."""
    trial.stopping = asyncio.ensure_future(trial.gateway.server.stop(6.0))


def leave(trial):
    """Let the upstream of the request say that it leaves."""
    upstream = trial.current_upstream()
    if upstream is None:
        return
    gateway = trial.gateway
    test_availability.set_leaving(gateway, upstream)
    gateway.context.catalog.put_upstream(upstream.listed(leaving=True))
    trial.left.append((upstream.name, gateway.context.clock()))


EDITS = {
    'idle limit shorter': editing(limits=http1.Limits(idle_s=0.05)),
    'time-out shorter': editing(rule_set=change_rules(timeout_s=0.1)),
    'time-out longer': editing(rule_set=change_rules(timeout_s=20.0)),
    'key removed': editing(accounts={'k2': 'other'}),
    'key added': editing(accounts={'k1': 'workshop', 'k2': 'other'}),
    'routes moved': editing(
        rule_set=change_rules(shares=[catalogs.Share(MOVED_TO, 1)])
    ),
    'routes split': editing(
        rule_set=change_rules(
            shares=[catalogs.Share('model', 1), catalogs.Share(MOVED_TO, 1)]
        )
    ),
    'routes removed': editing(rule_set=rules.RuleSet([])),
    '1,920 routes more': editing(rule_set=add_routes(1920)),
}
SILENCES = {
    'silent for 1.0 s': Change(disturb=silence(1.0), others_queue=True),
    'silent for 1.5 s': Change(disturb=silence(1.5), others_queue=True),
    'stop signal and silent for 1.5 s': Change(
        stop, disturb=silence(1.5), others_queue=True
    ),
}
OTHERS = {
    'version announced': Change(lambda trial: announce(trial, GRACE_S)),
    'stop signal': Change(stop, hold_s=0.5),
}
REMOVAL = {
    'routes and services removed': editing(
        rule_set=rules.RuleSet([]), services={}
    ),
}
LEAVING = {'leaves': Change(leave)}
DUE_LATER = {
    'version due in a silence': Change(
        lambda trial: announce(trial, 0.9), disturb=silence(1.5)
    ),
}
DUE = {
    'version due': Change(lambda trial: announce(trial, DUE_IN_S), hold_s=0.6),
    **DUE_LATER,
}
FAILING = {
    'dies for good': Change(disturb=silence(60.0), left_ms='3000'),
    'resets': Change(disturb=_reset),
}


class _HeldPermitClient(test_permits.FakePermitClient):
    """Permit client that holds one of its requests at a stage.

    Only the engine that it grants the first permit of has one to give.
    """

    def __init__(self, trial):
        is_resuming = trial.stage == Stage.RESUMING
        first = permits.PermitGranted if is_resuming else permits.PermitQueued
        super().__init__(first, *[permits.NO_ROOM] * MAX_TRIES)
        self.trial = trial
        self.held = 1 if is_resuming else 0
        self.request_class = _HeldPermitRequest


class _HeldPermitRequest(test_permits.FakePermitRequest):
    async def send_and_wait(self):
        if self.request.number == self.client.held and self.reply is None:
            await self.client.trial.hold(Stage.ASKED)
            await self.client.trial.hold(Stage.RESUMING)
        return await super().send_and_wait()

    async def await_decision(self):
        await self.client.trial.hold(Stage.PERMIT)
        return await super().await_decision()


class Trial:
    """One request that meets a change.

    Args:
        stage: the `Stage` at which it does.
        change: the `Change`.
        path: path of the request.
        versions: version of each engine.

    Attributes:
        sends: (name, time) of each engine that got the request, in order.
        runs: (name, version, time) of each engine that began to run it.
        left: (name, time) of the engines that began to leave.
        due_at: when a version becomes due, or None.
        finished_at: when the answer had ended.
    """

    def __init__(self, stage, change, path='/chat/1', versions=(1, 1, 1)):
        self.stage = stage
        self.change = change
        self.path = path
        self.sends = []
        self.runs = []
        self.left = []
        self.due_at = None
        self.finished_at = None
        self.stopping = None
        self.gateway = None
        self._chosen = []
        self._reached = asyncio.Event()
        self._go = asyncio.Event()
        self._engines = [
            harness.FakeUpstream(
                f'u{number}', self._answer, 'model', {harness.MODEL: version}
            )
            for number, version in enumerate(versions, 1)
        ]
        self._engines.append(
            harness.FakeUpstream(
                'm1', self._answer, MOVED_TO, {harness.MODEL: max(versions)}
            )
        )

    def current_upstream(self):
        """Return the upstream that the request is at, or None."""
        names = [name for name, _ in self.sends[-1:]] or self._chosen[:1]
        if self.stage == Stage.RESUMING:
            names = self._chosen[-1:]
        return next((e for e in self._engines if e.name in names), None)

    async def hold(self, stage):
        """Hold the request if it is to meet its change at `stage`."""
        if stage != self.stage:
            return
        self._reached.set()
        await self._go.wait()

    async def run(self):
        """Return the `Outcome` for the client."""
        services = {
            name: catalogs.Service(
                name,
                engine=catalogs.EngineProfile(slots=4, models=[harness.MODEL]),
            )
            for name in ('model', MOVED_TO)
        }
        async with harness.running_gateway(
            *self._engines, rule_set=change_rules(), services=services
        ) as gateway:
            self.gateway = gateway
            self._prepare()
            sent = asyncio.ensure_future(self._request())
            reached = asyncio.ensure_future(self._reached.wait())
            await asyncio.wait(
                (sent, reached), return_when=asyncio.FIRST_COMPLETED
            )
            if not reached.done():
                reached.cancel()
                return Outcome.MISSED
            if self.change.apply is not None:
                self.change.apply(self)
            await asyncio.sleep(self.change.hold_s)
            self._go.set()
            found = await sent
            self.finished_at = gateway.context.clock()
            # A run that the entry does not end would begin by now.
            await asyncio.sleep(0.2)
            if self.stopping is not None:
                self.stopping.cancel()
        return self._outcome(*found)

    def _prepare(self):
        context = self.gateway.context
        # The state is confirmed once, however long a trial takes.
        context.catalog.key_trust_s = 60.0
        context.catalog.absence_trust_s = 60.0
        if self.stage in (Stage.ASKED, Stage.PERMIT, Stage.RESUMING):
            context.permit_client = _HeldPermitClient(self)
        else:
            context.permit_client = test_permits.FakePermitClient()
        # Chosen last, so that its version is found only when needed.
        context.tracker.state(self._engines[MAX_TRIES - 1].listed()).pause(
            context.clock(), 60.0
        )
        choose = context.chooser.choose

        def record(*args, **changes):
            candidate = choose(*args, **changes)
            if candidate is not None:
                self._chosen.append(candidate.upstream.id)
            return candidate

        context.chooser.choose = record
        for engine in self._engines:
            self._hold_connections(context.pool(engine.listed()))

    def _hold_connections(self, pool):
        acquire = pool.acquire

        async def held(fresh=False):
            await self.hold(Stage.CONNECTING)
            return await acquire(fresh)

        pool.acquire = held

    async def _request(self):
        fields = {**test_streams.CHAT, 'Left_Ms': self.change.left_ms}
        if self.stage != Stage.READ:
            return await self.gateway.request(
                self.path, 'POST', b'hello', **fields
            )
        reader, writer = await self.gateway.connect()
        written = _Recording()
        await harness.send_request(
            written, self.path, 'POST', b'hello', **fields
        )
        writer.write(written.data[:30])
        await writer.drain()
        # The entry has read the first bytes.
        await asyncio.sleep(0.05)
        await self.hold(Stage.READ)
        with contextlib.suppress(ConnectionError):
            writer.write(written.data[30:])
            await writer.drain()
        found = await harness.read_reply(reader)
        writer.close()
        return found

    async def _answer(self, head, writer, upstream):
        now = self.gateway.context.clock
        number = len(self.sends)
        self.sends.append((upstream.name, now()))
        breaks = self.stage in (Stage.RESUMING, Stage.RESUMED)
        if self.change.others_queue and number > breaks:
            await asyncio.sleep(60)
        if number == breaks and self.stage in _BEFORE_SENDING:
            await self._disturb(writer)
        if number == breaks:
            await self._meet(Stage.QUEUED, writer)
            await self._meet(Stage.RESUMED, writer)
        first = int(harness.header(head, 'Last-Event-Id') or 0) + 1
        version = upstream.versions[harness.MODEL]
        self.runs.append((upstream.name, version, now()))
        writer.write(harness.stream_head(head, upstream))
        if number == 0:
            await self._meet(Stage.HEAD, writer)
        for event in range(first, EVENTS + 1):
            if event == EVENTS_BEFORE + 1 and number == 0:
                if breaks:
                    return 'close'
                await self._meet(Stage.STREAMING, writer)
            writer.write(harness.chunk_of(event))
            await writer.drain()
        writer.write(harness.LAST_CHUNK)
        return None

    async def _meet(self, stage, writer):
        if stage == self.stage:
            await self.hold(stage)
            await self._disturb(writer)

    async def _disturb(self, writer):
        if self.change.disturb is not None:
            await self.change.disturb(writer)

    def _outcome(self, status, head, body):
        if body is None:
            return Outcome.CUT
        if status == 200:
            whole = body == test_streams.events(EVENTS)
            return Outcome.WHOLE if whole else Outcome.WRONG
        if status in (429, 503):
            return Outcome.UNTRUE if self.runs else Outcome.REFUSED
        if status in (401, 404):
            return Outcome.DENIED
        return Outcome.UNKNOWN if status in (502, 504) else Outcome.WRONG


_BEFORE_SENDING = (
    Stage.READ,
    Stage.ASKED,
    Stage.PERMIT,
    Stage.CONNECTING,
    Stage.RESUMING,
)


class _Recording:
    """Stand-in of a writer that keeps what is written."""

    def __init__(self):
        self.data = b''

    def write(self, data):
        self.data += data

    async def drain(self):
        pass
