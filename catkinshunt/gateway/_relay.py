"""Relays the reply of one upstream attempt to the client."""

import asyncio

from catkinshunt import errors
from catkinshunt.gateway import _body_check
from catkinshunt.gateway import _event_order
from catkinshunt.gateway import _events
from catkinshunt.gateway import _reply_check
from catkinshunt import http1

#: Interval in seconds of the checks for an unresponsive upstream.
POLL_S = 0.2
#: Pause in seconds after a failover from an unresponsive upstream in which no
#: other upstream replied. Permits that run out are free again by then.
FAILOVER_PAUSE_S = 0.5
#: Seconds without a byte after which an upstream counts as dead if its sidecar
#: does not reply either, or the request was also sent to another one in vain.
#: A sound upstream may be silent for somewhat more than a second.
DEAD_S = 2.0
#: Most characters of a reason phrase that a note quotes.
MAX_REASON_CHARS = 40
#: Longest reply that is buffered until complete, so that the request can be
#: retried if the reply is cut off. A longer one is relayed as it arrives.
MAX_BUFFERED_BYTES = 1024 * 1024
#: Part of a reply that is buffered also if memory is short.
MIN_BUFFERED_BYTES = 64 * 1024


class OutdatedVersionError(errors.OutcomeUnknownError):
    """The version became outdated before the reply began; it may have run."""

    code = 'outdated'


class ConnectionLostError(errors.OutcomeUnknownError):
    """The connection to the upstream was lost before the reply ended."""


class ForeignReplyError(errors.OutcomeUnknownError):
    """The upstream sent a reply that does not belong to the request."""

    code = 'foreign'


class UnresponsiveError(errors.OutcomeUnknownError):
    """The upstream sends no bytes on any connection."""

    code = 'silent'


class Relay:
    """Relays the reply of one upstream attempt to the client.

    Args:
        attempt: the `Attempt`.
        conn: `http1.ClientConnection` to the upstream.
        peer: address of the upstream as text.
    """

    def __init__(self, attempt, conn, peer):
        self.attempt = attempt
        self.exchange = attempt.exchange
        self.context = attempt.context
        self.conn = conn
        self.upstream = attempt.candidate.upstream
        self.state = attempt.candidate.state
        self.job = attempt.job
        self.peer = peer
        self.sent_at = self.context.clock()
        self.boot_sent_at = self.context.boot_clock()
        #: Longest time without a byte of the upstream before a part of the
        #: reply, in seconds.
        self.silent_s = 0.0
        #: No other upstream is tried before this time.
        self.failover_after = self.sent_at
        #: Whether to give the upstream up after `DEAD_S`.
        self.may_be_dead = False
        #: Whether the reply was delimited by the end of its connection, see
        #: `http1.EndOfReply`.
        self.ended_at_close = False
        self.body_check = _body_check.BodyCheck(self.context.dialect, peer)
        #: Bytes of the reply that are buffered until it is whole.
        self._body_bytes = 0

    @property
    def held_bytes(self):
        """Bytes of the reply that the client was not sent yet."""
        return self._body_bytes + self.conn.buffered_bytes

    async def run(self):
        """Relay the reply; return whether the connection is reusable."""
        client = self.exchange.conn
        client.add_relay(self)
        self.conn.on_paused = client.update_budget
        try:
            return await self._relay()
        finally:
            self.conn.on_paused = None
            client.remove_relay(self)

    async def _relay(self):
        head, reply_info = await self._read_reply_head()
        # A misdirected reply is that of another upstream.
        if reply_info.load is not None and not reply_info.misdirected:
            self.state.report(reply_info.load, self.context.clock())
        self.context.record_statements(
            self.upstream, reply_info, self.boot_sent_at
        )
        _reply_check.ReplyCheck(self.attempt, self.peer).check(
            head, reply_info
        )
        delay_s = self.context.clock() - self.sent_at
        self.attempt.record_delay(delay_s)
        if head.bodiless:
            await self._relay_bodiless(head)
        elif _reply_check.is_stream(head):
            await self._relay_events(head)
        else:
            await self._relay_buffered(head)
        return self.conn.is_fully_sent and not reply_info.closes_connection

    async def _read_reply_head(self):
        """Return the head of the reply to this request, and what it states.

        The connection has skipped replies to other requests.

        Raises:
            ForeignReplyError: the reply does not state its request. What
                follows it cannot be told apart either, as its body may be
                cut off.
        """
        head = await self._next_part()
        reply_info = self.context.dialect.decode_reply(head)
        self._note_head(head, reply_info)
        if not self._is_own(reply_info):
            self.context.metrics.record_foreign_reply('no request')
            reason = 'a reply that states no request'
            self.context.pool(self.upstream).limit_to_single_use(reason)
            raise ForeignReplyError(reason, step='read-reply', peer=self.peer)
        is_rejection = reply_info.not_executed or reply_info.misdirected
        if is_rejection and self.conn.skipped:
            # The skipped reply may be that of the request, with a wrong id.
            raise ForeignReplyError(
                'a rejection behind another reply',
                step='read-reply',
                peer=self.peer,
            )
        self.job.reply_started = True
        return head, reply_info

    def _is_own(self, reply_info):
        """Return whether a reply belongs to the request.

        An upstream that got the address of another one rejects a request
        that names that one, and does not always state its id. On a new
        connection it can reply to no other request.
        """
        if reply_info.request_id:
            return reply_info.request_id == self.exchange.info.id
        if not self.exchange.info.id:
            return True
        return reply_info.misdirected and self.conn.requests == 1

    def _note_head(self, head, reply_info):
        """Note what shows whether the head is that of the request."""
        conn = self.conn
        age_s = self.context.clock() - conn.opened_at
        if conn.skipped:
            self.context.metrics.record_foreign_reply('another request')
        identity = 'own' if reply_info.request_id else 'no'
        self._note(
            f'{head.status} {head.reason[:MAX_REASON_CHARS]!a}, {identity} id,'
            f' request {conn.requests} of a connection of {age_s:.2f} s,'
            f' {conn.skipped} skipped'
        )

    async def _next_part(self):
        """Return the next part of the reply.

        Raises:
            UnresponsiveError: another upstream replies instead.
        """
        while True:
            part = await self._poll_part()
            if part is None:
                self._check_version()
                await self._fail_over_if_unresponsive()
                continue
            if isinstance(part, http1.ConnectionLost):
                # An upstream that sends, if only what is invalid, has not
                # crashed.
                lost = ConnectionLostError
                error = ForeignReplyError if part.is_invalid else lost
                raise error(part.reason, step='read-reply', peer=self.peer)
            self.silent_s = max(
                self.silent_s, self.state.receive(self.context.clock())
            )
            if isinstance(part, http1.EndOfReply):
                self.ended_at_close = part.at_close
            return part

    async def _poll_part(self):
        """Return the next part of the reply, or None after `POLL_S`.

        Raises:
            UnresponsiveError: another upstream has begun to reply.
        """
        failover = self.attempt.failover
        if failover is None:
            try:
                async with asyncio.timeout(POLL_S):
                    return await self.conn.read_part()
            except TimeoutError:
                # After a stall of the event loop, the time-out comes before a
                # part that has arrived.
                return await self._read_arrived_part()
        await failover.wait_for_activity(self.conn, POLL_S)
        if failover.has_begun:
            self.context.metrics.record_silence('replaced')
            raise self._unresponsive_error()
        if not self.conn.has_part and failover.failure is not None:
            self._note('no other upstream replied, so its reply is awaited')
            self.may_be_dead |= failover.has_sent
            self._end_failover()
            self.failover_after = self.context.clock() + FAILOVER_PAUSE_S
        return await self._read_arrived_part()

    async def _read_arrived_part(self):
        return await self.conn.read_part() if self.conn.has_part else None

    def _begin_reply(self):
        """Record that a part of the reply is relayed.

        It ends all other attempts of the request.
        """
        self.attempt.begin_reply()
        if self.attempt.failover is None:
            return
        self._end_failover()
        self.context.metrics.record_silence('resumed')
        self._note(f'replies after a silence of {self.silent_s:.2f} s')

    def _end_failover(self):
        self.exchange.end_failover(self.attempt.failover)
        self.attempt.failover = None

    def _note(self, text):
        self.exchange.progress.notes.append(f'{self.upstream.id}: {text}')

    def _unresponsive_error(self):
        return UnresponsiveError(
            'no bytes on any connection', step='read-reply', peer=self.peer
        )

    def _check_version(self):
        """Raise if the attempt would begin on an outdated version.

        A request can wait in the queue of a full engine for seconds, and
        would then be answered from weights that must no longer serve.
        """
        if self.job.reply_started:
            return
        if self.exchange.selection.is_outdated(self.upstream, POLL_S):
            raise OutdatedVersionError(
                'version became outdated before the reply began',
                step='read-reply',
                peer=self.peer,
            )

    async def _fail_over_if_unresponsive(self):
        """Try other upstreams if this one is unresponsive.

        Not for `POLL_S` after sending, nor if no retry is possible.

        Raises:
            UnresponsiveError: its reply is no longer awaited.
        """
        now = self.context.clock()
        if not self.state.is_unresponsive(now) or now - self.sent_at < POLL_S:
            return
        if self.may_be_dead and self.state.silent_s(now) > DEAD_S:
            raise self._unresponsive_error()
        if self.attempt.failover is not None or now < self.failover_after:
            return
        if not self.exchange.retry_check.can_fail_over():
            return
        is_instance_responsive = await self._is_instance_responsive()
        if self.conn.has_part:
            return
        if not is_instance_responsive:
            # It is frozen, cut off or lost. The engine would run the request
            # when it is back, after the client has left.
            if not self.exchange.progress.head_sent:
                raise self._unresponsive_error()
            # Only the sidecar may be down. A client that has read a part of
            # a stream waits for longer than for its begin.
            self.may_be_dead = True
        self.attempt.failover = self.exchange.start_failover(
            self._unresponsive_error(), self.attempt.parent_failover
        )

    async def _is_instance_responsive(self):
        """Return whether the sidecar beside an engine replies.

        True for a plain upstream, which has none.
        """
        permit_client = self.context.permit_client
        if self.exchange.selection.engine_profile() is None:
            return True
        if not permit_client.is_started:
            return True
        return await permit_client.probe(
            self.upstream.address[0], self.upstream.slots
        )

    async def _relay_buffered(self, head):
        if await self._relay_whole(head):
            return
        while True:
            await self.exchange.conn.drain()
            part = await self._next_part()
            if isinstance(part, http1.EndOfReply):
                self._check_end()
                self.exchange.conn.write(http1.LAST_CHUNK)
                self.exchange.progress.is_complete = True
                return
            self._check_body(part.data)
            self.exchange.conn.write(http1.dump_chunk(part.data))
            # Held by the connection from here on.
            del part

    async def _relay_whole(self, head):
        """Relay a reply once it is whole, or begin to relay its parts.

        Returns:
            Whether it was relayed whole.
        """
        body = bytearray()
        while self._may_buffer(body):
            part = await self._next_part()
            if isinstance(part, http1.EndOfReply):
                self._check_end()
                is_success = 200 <= head.status < 300
                if self.ended_at_close and is_success and not body:
                    # The upstream may have crashed after it sent the head.
                    raise self._premature_end_error('reply without a body')
                self._check_body(bytes(body))
                self._send_buffered(head, bytes(body))
                return True
            body += part.data
        self._check_body(bytes(body))
        self._begin_reply()
        self._send_head(head)
        self.exchange.progress.can_continue = False
        self._body_bytes = 0
        self.exchange.conn.write(http1.dump_chunk(body))
        return False

    def _may_buffer(self, body):
        """Return whether to buffer more of a reply until it is whole."""
        self._body_bytes = len(body)
        if len(body) <= MIN_BUFFERED_BYTES:
            return True
        return len(body) <= MAX_BUFFERED_BYTES and (
            self.exchange.conn.may_buffer()
        )

    def _check_end(self):
        """Raise if a reply may be longer than its head says."""
        if self.conn.is_end_doubtful:
            self.context.metrics.record_foreign_reply('wrong length')
            raise errors.OutcomeUnknownError(
                'data follows the reply', step='read-reply', peer=self.peer
            )

    def _send_buffered(self, head, body):
        self._begin_reply()
        self.exchange.record_first_byte()
        items = head.headers.end_to_end() + self.exchange.connection_headers()
        self.exchange.conn.write(http1.dump_reply(head.status, items, body))
        self.exchange.progress.is_complete = True

    async def _relay_bodiless(self, head):
        """Relay a reply that has no body, though it may state its length."""
        await self._next_part()
        self._check_end()
        if self.exchange.req.method != 'HEAD':
            self._send_buffered(head, b'')
            return
        self._begin_reply()
        self.exchange.record_first_byte()
        items = head.headers.end_to_end() + self.exchange.connection_headers()
        length = head.headers.get('content-length')
        if length is not None:
            items.append(('Content-Length', length))
        first = http1.status_line(head.status)
        self.exchange.conn.write(http1.dump_head(first, items))
        self.exchange.progress.is_complete = True

    def _check_body(self, data):
        """Raise if the next part of the body holds another reply."""
        try:
            self.body_check.feed(data)
        except errors.OutcomeUnknownError:
            self.context.metrics.record_foreign_reply('within a body')
            raise

    async def _relay_events(self, head):
        splitter = _events.EventSplitter()
        order = _event_order.EventOrder(
            self.exchange.progress, self.context.dialect.numbers_events
        )
        while True:
            part = await self._next_part()
            if isinstance(part, http1.EndOfReply):
                break
            events = self._split(splitter, part.data)
            unsent, fault = order.select_new(events)
            if unsent:
                self._begin_reply()
                self._send_head(head)
                self.exchange.conn.write(http1.dump_chunk(unsent))
                await self.exchange.conn.drain()
            if fault:
                self.context.metrics.record_foreign_reply('wrong event')
                raise errors.OutcomeUnknownError(
                    fault, step='read-reply', peer=self.peer
                )
        if splitter.has_partial_event:
            raise self._premature_end_error('stream ended within an event')
        if self.ended_at_close and not self._client_has_event():
            # The upstream may have crashed after it sent the head. The client
            # must not take that for an empty answer.
            raise self._premature_end_error(
                'stream ended before its first event'
            )
        self._check_end()
        fault = order.find_fault_at_end()
        if fault:
            raise self._premature_end_error(fault)
        self._begin_reply()
        self._send_head(head)
        self.exchange.conn.write(http1.LAST_CHUNK)
        self.exchange.progress.is_complete = True

    def _premature_end_error(self, text):
        """Return the error for a stream that has ended too early.

        The connection of a crashed upstream is closed in order by its kernel,
        so a stream that ends with its connection counts as a lost connection.
        """
        error = errors.OutcomeUnknownError
        if self.ended_at_close:
            error = ConnectionLostError
        return error(text, step='read-reply', peer=self.peer)

    def _client_has_event(self):
        """Return whether the client got an event, in any of its attempts."""
        progress = self.exchange.progress
        return progress.head_sent or progress.last_event_id is not None

    def _split(self, splitter, data):
        try:
            return splitter.feed(data)
        except _events.BadEventError as exc:
            raise errors.OutcomeUnknownError(
                str(exc), step='read-reply', peer=self.peer
            ) from exc

    def _send_head(self, head):
        if self.exchange.progress.head_sent:
            return
        self.exchange.record_first_byte()
        self.exchange.progress.head_sent = True
        items = head.headers.end_to_end()
        items.append(('Transfer-Encoding', 'chunked'))
        items.extend(self.exchange.connection_headers())
        first = http1.status_line(head.status)
        self.exchange.conn.write(http1.dump_head(first, items))
