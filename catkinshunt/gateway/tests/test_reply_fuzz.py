"""No byte that belongs to no request, or to another, reaches a caller.

`make fuzz` runs the same with more examples, 100,000 replies and more.
"""

import asyncio
import contextlib
import os
import socket

import hypothesis
from hypothesis import strategies as st

from catkinshunt.gateway.tests import harness
from catkinshunt.gateway.tests import reply_player
from catkinshunt.gateway.tests import reply_series
from catkinshunt.gateway.tests import reply_verdicts
from catkinshunt import http1
from catkinshunt.http1 import _client
from catkinshunt.tests import virtual_loop

#: Series of two to four requests.
EXAMPLES = int(os.environ.get('FUZZ_REPLIES', '400'))
#: Series that are played over sockets at the same time, each with a gateway
#: of its own.
CONCURRENT = 10
#: One of so many series is also played over sockets.
SOCKET_SHARE = 20
#: Seconds after its deadline in which a request over sockets ends.
SOCKET_MARGIN_S = 5.0


def _find_faults(outcomes, **params):
    found = []
    for outcome in outcomes:
        verdict = reply_verdicts.judge(outcome, outcomes, **params)
        if verdict in reply_verdicts.FAULTS:
            found.append((verdict, outcome))
    return found


def test_spoilt_replies_give_callers_no_foreign_bytes():
    """Callers got successes where their upstreams had answered a failure."""
    player = reply_player.Player(virtual_loop.VirtualClockLoop())

    @reply_series.fuzzed(EXAMPLES)
    @hypothesis.given(reply_series.series, st.integers(1, 2))
    def run(plans, upstreams):
        assert _find_faults(player.play(plans, upstreams)) == []

    with contextlib.closing(player):
        run()


class SocketWire:
    """Stands for a `reply_wire.Wire` at the upstream's end of a socket."""

    def __init__(self, writer):
        self.writer = writer
        self.history = []
        self.due = 0

    def deliver(self, data, due=0):
        """Send a segment."""
        if not self.writer.is_closing():
            self.due -= due
            self.writer.write(data)

    def end(self, exc):
        """Close the connection, or reset it."""
        if exc is None:
            self.writer.close()
        else:
            self.writer.transport.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _client.RESET_ON_CLOSE
            )
            self.writer.transport.abort()


class SocketPlayer(reply_player.Player):
    """Plays one series over sockets."""

    async def play_series(self, plans):
        """Return the `reply_player.Outcome` of each plan."""
        wires = {}

        async def answer(head, writer, upstream):
            if writer not in wires:
                wires[writer] = SocketWire(writer)
            self.answer(wires[writer], head)

        upstream = harness.FakeUpstream('u1', answer)
        async with harness.running_gateway(
            upstream, rule_set=reply_player.make_rules()
        ) as gateway:
            gateway.context.dialect = self.dialect
            for number, plan in enumerate(plans):
                await self._request(gateway, self.begin(number, plan))
                await asyncio.sleep(reply_player.PAUSE_S)
        for handle in self._handles:
            handle.cancel()
        return list(self.outcomes.values())

    async def _request(self, gateway, outcome):
        method, path, items = reply_player.describe_request(outcome)
        items = [*items, ('Connection', 'close')]
        reader, writer = await gateway.connect()
        begin = self.loop.time()
        writer.write(http1.dump_head(f'{method} {path} HTTP/1.1', items))
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                outcome.data += data
        writer.close()
        outcome.took_s = self.loop.time() - begin
        outcome.due = sum(wire.due for wire in self.wires)
        reply = reply_verdicts.read(outcome.data)
        outcome.aborted = reply is None or not reply.whole


def test_spoilt_replies_over_sockets_give_callers_no_foreign_bytes():
    """The transports of the other test might hide what real ones do."""

    async def play(every):
        players = [SocketPlayer(asyncio.get_running_loop()) for _ in every]
        try:
            return await asyncio.gather(
                *(
                    player.play_series(plans)
                    for player, plans in zip(players, every, strict=True)
                )
            )
        finally:
            for player in players:
                player.close()

    @reply_series.fuzzed(max(1, EXAMPLES // SOCKET_SHARE // CONCURRENT))
    @hypothesis.given(
        st.lists(reply_series.series, min_size=CONCURRENT, max_size=CONCURRENT)
    )
    def run(every):
        for outcomes in asyncio.run(play(every)):
            faults = _find_faults(outcomes, margin_s=SOCKET_MARGIN_S)
            assert faults == []

    run()
