"""Passes the reply of one try on to the caller."""

import asyncio

from catkinshunt import errors
from catkinshunt.gateway import _events
from catkinshunt import http1

#: Seconds after which an exchange looks whether its upstream is silent.
LOOK_S = 0.2
#: Bytes of an answer that are held until it is whole, so that one that
#: breaks off can be asked for again; a longer one is passed on as it comes.
HELD_BYTES = 1024 * 1024
#: Seconds for which an upstream that refused a request gets no other one.
FULL_PAUSE_S = 0.1
#: The same after it did not hold the name or version that was expected.
MISDIRECTED_PAUSE_S = 0.5
#: Seconds after which a caller may come back when no upstream took the
#: request: about the time in which an engine ends an answer.
BUSY_RETRY_S = 0.25
#: Seconds for which an upstream is left alone that refuses though it has
#: free slots: it ends its answers before it loads another version. It gets
#: work again as soon as its entry shows other versions.
LOADING_PAUSE_S = 2.5
EVENT_STREAM = 'text/event-stream'


class OutdatedError(errors.OutcomeUnknownError):
    """The upstream had not begun when its version became too old."""

    code = 'outdated'


class BrokenOffError(errors.OutcomeUnknownError):
    """The connection to the upstream ended before its reply."""


class SilentError(errors.OutcomeUnknownError):
    """The upstream sends nothing on any connection."""

    code = 'silent'


class Relay:
    """Passes the reply of one try on to the caller.

    Args:
        exchange: the `Exchange`.
        conn: `http1.ClientConnection` to the upstream.
        candidate: the `dispatch.Candidate` that was chosen.
        job: the `dispatch.Job` of the try.
        peer: address of the upstream as text.
    """

    def __init__(self, exchange, conn, candidate, job, peer):
        self.exchange = exchange
        self.context = exchange.context
        self.conn = conn
        self.upstream = candidate.upstream
        self.state = candidate.state
        self.job = job
        self.peer = peer
        self.sent_at = self.context.clock()

    async def run(self):
        """Relay the reply; return whether the connection can be kept."""
        head = await self._read_own_head()
        note = self.context.dialect.decode_reply(head)
        if note.load is not None:
            self.state.report(note.load, self.context.clock())
        self._check(head, note)
        delay_s = self.context.clock() - self.sent_at
        self.exchange.learn_delay(self.job, delay_s)
        if self._is_stream(head):
            await self._relay_events(head)
        else:
            await self._relay_whole(head)
        return self.conn.sent_whole and not note.closes_connection

    async def _read_own_head(self):
        """Return the head of the reply to this request.

        A reply to an earlier one can still come on the connection; it is
        read to its end and dropped.
        """
        while True:
            part = await self._next_part()
            if not isinstance(part, http1.ReplyHead):
                continue
            note = self.context.dialect.decode_reply(part)
            if note.request_id in ('', self.exchange.ask.id):
                return part

    async def _next_part(self):
        while True:
            try:
                async with asyncio.timeout(LOOK_S):
                    part = await self.conn.read_part()
            except TimeoutError:
                self._check_version()
                self._check_silence()
                continue
            if isinstance(part, http1.Broken):
                raise BrokenOffError(
                    part.reason, step='read-reply', peer=self.peer
                )
            self.state.receive(self.context.clock())
            self.job.answering = True
            return part

    def _check_version(self):
        """Give the try up where it would begin on a version too old.

        A request can wait at a full engine for seconds, and would then get
        an answer from weights that should no longer serve.
        """
        if self.job.answering:
            return
        if self.exchange.selection.is_outdated(self.upstream, LOOK_S):
            raise OutdatedError(
                'not begun before its version was due',
                step='read-reply',
                peer=self.peer,
            )

    def _check_silence(self):
        now = self.context.clock()
        if not self.state.is_unresponsive(now) or now - self.sent_at < LOOK_S:
            return
        if self.exchange.can_move():
            raise SilentError(
                'no byte on any connection', step='read-reply', peer=self.peer
            )

    def _check(self, head, note):
        """Raise where the reply is not to be passed on."""
        if note.misdirected:
            self.state.rest(self.context.clock(), MISDIRECTED_PAUSE_S)
            raise errors.RefusedError(
                'another upstream or version is there',
                step='read-reply',
                peer=self.peer,
            )
        if note.not_executed:
            self._rest(note)
            raise errors.OverloadedError(
                f'upstream refused with {head.status}',
                step='read-reply',
                peer=self.peer,
                retry_after_s=BUSY_RETRY_S,
            )
        if head.status in (408, 429, 503):
            # Such a status promises that the request has not run; without
            # the upstream's own word it cannot be passed on.
            raise errors.OutcomeUnknownError(
                f'upstream answered {head.status}',
                step='read-reply',
                peer=self.peer,
            )
        if head.status >= 500 and self.exchange.can_move():
            raise errors.OutcomeUnknownError(
                f'upstream failed with {head.status}',
                step='read-reply',
                peer=self.peer,
            )

    def _rest(self, note):
        """Leave an upstream alone that has just refused a request."""
        now = self.context.clock()
        load = note.load
        if load is not None and load.running < load.slots:
            self.state.rest(now, LOADING_PAUSE_S, self.upstream.versions)
        else:
            self.state.rest(now, FULL_PAUSE_S)

    def _is_stream(self, head):
        kind = head.headers.get('content-type') or ''
        return head.status == 200 and kind.startswith(EVENT_STREAM)

    async def _relay_whole(self, head):
        body = bytearray()
        while len(body) <= HELD_BYTES:
            part = await self._next_part()
            if isinstance(part, http1.End):
                self._send_whole(head, bytes(body))
                return
            body += part.data
        await self._relay_long(head, bytes(body))

    def _send_whole(self, head, body):
        self.exchange.note_first()
        items = head.headers.end_to_end() + self.exchange.closing_items()
        self.exchange.conn.write(http1.dump_reply(head.status, items, body))

    async def _relay_long(self, head, data):
        self._send_head(head)
        while True:
            self.exchange.conn.write(http1.dump_chunk(data))
            await self.exchange.conn.drain()
            part = await self._next_part()
            if isinstance(part, http1.End):
                self.exchange.conn.write(http1.LAST_CHUNK)
                return
            data = part.data

    async def _relay_events(self, head):
        splitter = _events.EventSplitter()
        while True:
            part = await self._next_part()
            if isinstance(part, http1.End):
                break
            fresh, missing = self._fresh(self._split(splitter, part.data))
            if fresh:
                self._send_head(head)
                self.exchange.conn.write(http1.dump_chunk(fresh))
                await self.exchange.conn.drain()
            if missing:
                raise errors.OutcomeUnknownError(
                    missing, step='read-reply', peer=self.peer
                )
        if splitter.rest:
            raise errors.OutcomeUnknownError(
                'the stream ended within an event',
                step='read-reply',
                peer=self.peer,
            )
        self._send_head(head)
        self.exchange.conn.write(http1.LAST_CHUNK)

    def _split(self, splitter, data):
        try:
            return splitter.feed(data)
        except _events.BadEventError as exc:
            raise errors.OutcomeUnknownError(
                str(exc), step='read-reply', peer=self.peer
            ) from exc

    def _fresh(self, events):
        """Return the bytes that the caller lacks, and what is missing.

        What comes before a gap still goes to the caller: it is counted as
        passed on, and the next upstream goes on behind it.
        """
        progress = self.exchange.progress
        fresh = []
        for event in events:
            last_id = progress.last_id
            if None not in (event.id, last_id):
                if event.id <= last_id:
                    continue
                if event.id > last_id + 1:
                    gap = f'event {event.id} came after {last_id}'
                    return b''.join(fresh), gap
            progress.last_id = event.id
            fresh.append(event.data)
        return b''.join(fresh), ''

    def _send_head(self, head):
        if self.exchange.progress.head_sent:
            return
        self.exchange.note_first()
        self.exchange.progress.head_sent = True
        items = head.headers.end_to_end()
        items.append(('Transfer-Encoding', 'chunked'))
        items.extend(self.exchange.closing_items())
        first = http1.status_line(head.status)
        self.exchange.conn.write(http1.dump_head(first, items))
