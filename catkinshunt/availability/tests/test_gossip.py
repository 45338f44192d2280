import random

from catkinshunt import availability
from catkinshunt.availability import _gossip
from catkinshunt import catalog as catalogs
from catkinshunt import wake_log

KEY = ('u1', 7, ('10.0.0.1', 80))


class Network:
    """Entries that exchange datagrams at once.

    Attributes:
        sent: number of datagrams.
        is_cut: whether datagrams are lost.
    """

    def __init__(self, count):
        self.sent = 0
        self.is_cut = False
        self.now = 100.0
        live_entries = catalogs.LiveEntries()
        hosts = {f'entry-{n}': f'10.0.0.{n}' for n in range(count)}
        live_entries.replace(
            {
                name: catalogs.EntryLocation(host, 'attiki')
                for name, host in hosts.items()
            }
        )
        self.entries = {}
        for name, host in hosts.items():
            entry = availability.LeaveGossip(
                availability.AvailabilityTable(name),
                live_entries,
                name,
                7706,
                lambda: self.now,
                random.Random(name),
                wake_log.WakeLog(lambda: self.now),
            )
            entry.connection_made(_Transport(self, host))
            self.entries[host] = entry

    def record(self, host, key=KEY):
        entry = self.entries[host]
        leave = availability.Leave(self.now, entry.name)
        if entry.table.record_leave(key, leave):
            entry.announce(key)

    def knowing(self):
        return [e for e in self.entries.values() if e.table.is_leaving(KEY)]


class _Transport:
    def __init__(self, network, host):
        self.network = network
        self.host = host

    def sendto(self, data, addr):
        self.network.sent += 1
        if not self.network.is_cut:
            entry = self.network.entries[addr[0]]
            entry.datagram_received(data, (self.host, addr[1]))


def test_all_entries_learn_of_a_leave():
    """With the store away, each would send until an answer told it."""
    network = Network(12)
    network.record('10.0.0.0')
    assert len(network.knowing()) == 12


def test_reminders_reach_entries_that_were_cut_off():
    """News that is lost would never come again."""
    network = Network(3)
    network.is_cut = True
    network.record('10.0.0.0')
    network.is_cut = False
    for _ in range(20):
        network.now += 1.0
        network.entries['10.0.0.0'].remind(network.now)
    assert len(network.knowing()) == 3


def test_restarted_entry_learns_of_leaves():
    """It would send to upstreams that left before it started."""
    network = Network(3)
    for host in ('10.0.0.0', '10.0.0.1'):
        network.entries[host].table.record_leave(
            KEY, availability.Leave(0.0, 'entry-0')
        )
    network.entries['10.0.0.2'].remind(network.now)
    assert len(network.knowing()) == 3


def test_nothing_is_sent_without_leaves_but_a_question_at_the_start():
    """Gossip costs each entry messages for as long as it runs."""
    network = Network(2)
    for _ in range(100):
        network.entries['10.0.0.0'].remind(network.now)
        network.now += 1.0
    assert network.sent == 1


def test_reminders_end():
    """Upstreams that once left would cost datagrams for ever."""
    network = Network(2)
    network.record('10.0.0.0')
    network.entries['10.0.0.0'].remind(network.now)
    network.now += _gossip.REMINDER_S
    network.entries['10.0.0.0']._reminded_at = network.now
    sent = network.sent
    network.entries['10.0.0.0'].remind(network.now)
    assert network.sent == sent


def test_invalid_datagram_is_ignored():
    """Another program may send to the port."""
    network = Network(2)
    entry = network.entries['10.0.0.0']
    entry.datagram_received(b'["leaving","u1",-1,"h",1,0,"x"]', ('h', 1))
    assert entry.table.is_empty


def test_leave_that_is_read_after_a_suspend_is_of_the_start_before_it():
    """A start that began during the suspend would never get requests."""
    network = Network(2)
    entry = network.entries['10.0.0.1']
    entry.wake_log.record(100.0)
    entry.wake_log.record(100.25)
    datagrams = []
    entry.datagram_received = lambda *args: datagrams.append(args)
    network.record('10.0.0.0')
    del entry.datagram_received
    network.now = 102.75
    entry.wake_log.record(network.now)
    for datagram in datagrams:
        entry.datagram_received(*datagram)
    assert entry.table.is_leaving(KEY)
    began_at_ms = 101_500
    assert not entry.table.is_leaving((KEY[0], began_at_ms, KEY[2]))
