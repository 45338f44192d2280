"""Lets upstreams answer requests twice, late, cut, spoilt or with failures."""

import asyncio
import collections

from catkinshunt import http1
from standins.soak import _proxy
from standins.soak import _spoiling

#: When a second reply comes: with the first one, later, while the connection
#: may be idle, or just before the next reply on the connection.
TIMES = ('at once', 'idle', 'next')
#: What it is: a cut, all of it, one bit wrong, without a length, with the
#: close announced, or a rejection of the same request.
FORMS = (
    *_spoiling.CUTS,
    'whole',
    'spoilt',
    'unframed',
    'closing',
    'rejection',
)
#: What happens to first replies: interim heads before them, one bit of the
#: head wrong, one of an event, no length, a broken off head or body, and both.
HARMS = (
    'interim',
    'spoilt',
    'event',
    'unframed',
    'broken',
    'unframed and broken',
)
#: Harms after which a reply may have no length for its reader. Breaking it off
#: with a close in order would end it.
UNFRAMING = ('unframed', 'unframed and broken', 'spoilt')
#: Shares of second and harmed replies, and of failures, of an upstream that
#: stutters.
SECOND_SHARE, HARM_SHARE, FAILURE_SHARE = 0.4, 0.12, 0.3
#: Shortest and longest time after which a second reply comes late, between two
#: changes, and of one, in seconds.
LATE_S, PAUSE_S, STUTTER_S = (0.001, 0.12), (0.0, 0.3), (1.0, 5.0)
#: Most interim heads before a reply.
MOST_INTERIM = 3
#: Share of the runs in which the store stutters too.
STORE_SHARE = 0.3
#: Statuses of replies that may be harmed. What a rejection says has to be
#: heard.
HARMED_STATUSES = (200, 500)
_INTERIM_HEADS = (
    b'HTTP/1.1 100 Continue\r\n\r\n',
    b'HTTP/1.1 102 Processing\r\n\r\n',
    b'HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n',
)


class Stutter:
    """How one upstream stutters.

    Attributes:
        random: source of random numbers; None for one that never stutters.
        times: when second replies come; none if empty.
        forms: what they are.
        harms: what happens to first replies.
        failure_share: share of the requests that it answers with a failure.
        counts: `collections.Counter` of what was done.
    """

    def __init__(self, counts=None):
        self.random = None
        self.times = ()
        self.forms = ()
        self.harms = ()
        self.failure_share = 0.0
        self.counts = collections.Counter() if counts is None else counts

    def begin(self, random):
        """Stutter from now on, in ways that are drawn."""
        self.random = random
        self.times = _sample(TIMES, random)
        self.forms = _sample(FORMS, random)
        self.harms = _sample(HARMS, random)
        self.failure_share = FAILURE_SHARE

    def end(self):
        """Answer each request once."""
        self.times = self.forms = self.harms = ()
        self.failure_share = 0.0

    def draw_failure(self):
        """Return whether to answer a request with a failure."""
        fails = self.failure_share and (
            self.random.random() < self.failure_share
        )
        self.counts['failures'] += bool(fails)
        return fails

    def draw_second(self):
        """Return the time and the form of a second reply, or Nones."""
        if not self.times or self.random.random() >= SECOND_SHARE:
            return None, None
        return self.random.choice(self.times), self.random.choice(self.forms)

    def draw_harm(self):
        """Return one of `HARMS`, or None."""
        if not self.harms or self.random.random() >= HARM_SHARE:
            return None
        return self.random.choice(self.harms)


def _sample(choices, random):
    return random.sample(choices, random.randint(1, len(choices)))


class Connection:
    """A connection of an upstream that may stutter.

    Args:
        conn: `http1.ServerConnection`.
        stutter: `Stutter` of the upstream.
        on_reply: called with the bytes with which each reply begins.
        on_break: called when a first reply is harmed.
    """

    def __init__(
        self, conn, stutter, on_reply=lambda data: None,
        on_break=lambda: None,
    ):  # fmt: skip
        self.conn = conn
        self.stutter = stutter
        self.on_reply = on_reply
        self.on_break = on_break
        #: Whether late bytes were sent, or will be, before the next reply.
        self.is_dirty = False
        #: Bytes to send before the next reply, or after this one.
        self._late = b''
        #: The reply that is being sent, as it would be without harm.
        self._reply = b''
        self._harm = None
        #: Bytes of it that are still sent before it is broken off, or None.
        self._left = None
        self._is_orderly = False
        self._event = 0

    def __getattr__(self, name):
        return getattr(self.conn, name)

    def write(self, data):
        """Send a part of a reply, maybe harmed, with what goes with it."""
        before = b''
        if not self._reply:
            before = self._begin(data)
        self._reply += data
        is_last = self._is_last(data)
        sent = self._change(data)
        if self._left is not None and len(sent) >= self._left:
            self.conn.write(before + sent[: self._left])
            self._break_off()
            return
        if self._left is not None:
            self._left -= len(sent)
        if is_last:
            sent += self._end()
        self.conn.write(before + sent)
        if is_last and self._is_unframed:
            _proxy.reset_on_close(self.conn.transport, False)
            self.conn.close()
        if is_last:
            self._reply = b''

    def _begin(self, data):
        """Begin a reply; return what comes before it."""
        self.on_reply(data)
        if self.is_dirty:
            self.on_break()
        before = self._late if self.stutter.times else b''
        self._late = b''
        self.is_dirty = False
        self._harm, self._left, self._event = None, None, 0
        self._is_orderly = False
        harm = self.stutter.draw_harm()
        is_stream = not self._is_last(data)
        if harm == 'interim':
            heads = self.stutter.random.randint(1, MOST_INTERIM)
            for _ in range(heads):
                before += self.stutter.random.choice(_INTERIM_HEADS)
        elif harm is not None:
            if _spoiling.status_of(data) not in HARMED_STATUSES:
                return before
            if harm == 'event' and not is_stream:
                return before
            self.on_break()
        self._harm = harm
        if harm in ('broken', 'unframed and broken'):
            self._left = self._draw_length(data, is_stream)
        if harm == 'event':
            self._event = self.stutter.random.randint(1, 6)
        if harm in UNFRAMING:
            _proxy.reset_on_close(self.conn.transport, True)
        self.stutter.counts[harm or 'plain'] += 1
        return before

    def _draw_length(self, data, is_stream):
        """Return the number of bytes after which a reply is broken off."""
        if self._is_unframed:
            data = _spoiling.unframe(data)
        head, _ = _spoiling.split_head(data)
        if self.stutter.random.random() < 0.5:
            self._is_orderly = self.stutter.random.random() < 0.5
            return self.stutter.random.randrange(len(head))
        if self._harm == 'broken':
            self._is_orderly = self.stutter.random.random() < 0.5
        # The events of a stream have more bytes than its head.
        most = 2 * len(head) if is_stream else len(data)
        return self.stutter.random.randrange(
            len(head), max(most, len(head) + 1)
        )

    @property
    def _is_unframed(self):
        return self._harm in ('unframed', 'unframed and broken')

    def _is_last(self, data):
        is_chunked = b'chunked' in _spoiling.split_head(self._reply or data)[0]
        return not is_chunked or data == http1.LAST_CHUNK

    def _change(self, data):
        """Return a part of a reply as it is sent."""
        is_head = self._reply == data
        if self._harm == 'spoilt' and is_head:
            return _spoiling.spoil_head(data, self.stutter.random)
        if self._harm == 'event' and b'id: ' in data and not is_head:
            self._event -= 1
            if not self._event:
                return _spoiling.spoil_event(data, self.stutter.random)
        if self._is_unframed:
            return (_spoiling.unframe if is_head else _spoiling.unchunk)(data)
        return data

    def _break_off(self):
        """End the connection within a reply, in order or with a reset."""
        self._reply = b''
        _proxy.reset_on_close(self.conn.transport, not self._is_orderly)
        if self._is_orderly:
            self.conn.close()
        else:
            self.conn.abort()

    def _end(self):
        """End a reply; return what is sent right behind it."""
        behind, self._late = self._late, b''
        if self._is_unframed:
            # All bytes until the close are its body.
            return b''
        time, form = self.stutter.draw_second()
        if time is None:
            return behind
        second = self._make_second(form)
        self.stutter.counts[f'{time}, {form}'] += 1
        if time == 'at once':
            return behind + second
        if time == 'next':
            self._late = second
            self.is_dirty = True
        else:
            delay_s = self.stutter.random.uniform(*LATE_S)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._send_late, second)
        return behind

    def _make_second(self, form):
        reply, random = self._reply, self.stutter.random
        if form == 'whole':
            return reply
        if form == 'spoilt':
            return _spoiling.spoil_head(reply, random)
        if form == 'unframed':
            return _spoiling.unframe(reply)
        if form == 'closing':
            return _spoiling.add_field(reply, b'Connection: close')
        if form == 'rejection':
            request = _spoiling.field_of(reply, 'Attempt-Id')
            items = [('Attempt-Id', request)] if request else []
            return http1.dump_reply(503, [*items, ('Not-Executed', '1')])
        return _spoiling.cut(reply, form, random)

    def _send_late(self, second):
        if not self.stutter.times:
            return
        if self._reply:
            # It must not come within another reply.
            self._late += second
            return
        self.is_dirty = True
        self.conn.write(second)


class StutterChanges:
    """Lets upstreams stutter until a time on the clock.

    Args:
        stutters: function that returns all `Stutter` objects.
        random: source of random numbers.
        clock: gives seconds on the steady clock.
    """

    def __init__(self, stutters, random, clock):
        self.stutters = stutters
        self.random = random
        self.clock = clock

    async def run(self, until):
        """Begin stutters until a time on the clock, then end all."""
        running = []
        while self.clock() < until:
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
            stutter = self.random.choice(self.stutters())
            running.append(asyncio.ensure_future(self._stutter(stutter)))
        await asyncio.gather(*running)

    async def _stutter(self, stutter):
        length_s = self.random.uniform(*STUTTER_S)
        if stutter.times:
            return
        stutter.begin(self.random)
        await asyncio.sleep(length_s)
        stutter.end()
