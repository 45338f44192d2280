"""Datagrams between entries, forwarded by each to a few others."""

import abc
import asyncio

from catkinshunt import datagrams

#: Entries to which each entry forwards an update that is new to it.
FANOUT = 4


class BaseGossip(asyncio.DatagramProtocol, abc.ABC):
    """Exchanges messages with other entries.

    An entry that receives something new forwards it to a few random others,
    so the datagrams sent per entry do not grow with the number of entries.

    Args:
        codec: `datagrams.Codec` of the messages.
        log: logger for invalid datagrams.
        live_entries: `catalog.LiveEntries`, with the addresses to send to.
        name: name of this entry.
        port: gossip port of all entries.
        random: source of random numbers.
    """

    def __init__(self, codec, log, live_entries, name, port, random):
        self.codec = codec
        self.log = log
        self.live_entries = live_entries
        self.name = name
        self.port = port
        self.random = random
        self._transport = None

    async def start(self, host):
        """Listen on the address `host` and return self."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, self.port)
        )
        return self

    def stop(self):
        """Stop sending and receiving."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport):
        """Send by `transport` from now on."""
        self._transport = transport

    def datagram_received(self, data, addr):
        """Handle a datagram of another entry."""
        try:
            message = self.codec.load(data)
        except datagrams.DecodeError as exc:
            self.log.warning(
                'Ignored an invalid datagram from {}: {}.', addr, exc
            )
            return
        self.receive(message, addr[0])

    @abc.abstractmethod
    def receive(self, message, host):
        """Handle a message of the entry on `host`."""

    def _fan_out(self, message):
        for host in self._random_hosts(FANOUT):
            self._send(message, host)

    def _send(self, message, host):
        if self._transport is not None:
            self._transport.sendto(self.codec.dump(message), (host, self.port))

    def _random_hosts(self, count):
        """Return the addresses of at most `count` other entries."""
        hosts = self._other_hosts()
        return self.random.sample(hosts, min(count, len(hosts)))

    def _other_hosts(self):
        locations = self.live_entries.locations()
        return [
            location.host
            for name, location in locations.items()
            if name != self.name
        ]
