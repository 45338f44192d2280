"""Measures how a revision reaches every process.

In rounds: messages in memory, one hop a round, for fanouts and sizes, with
dead processes. Over sockets: processes' control parts in this process, with
the key-value stand-in; time to the last, calls to the service and processor
time of keeping up. The baseline lets every process poll the service.
"""

import random
import resource
import statistics
import threading
import time

import attrs

from benchmarks import report
from catkinshunt import configuration
from catkinshunt.configuration.tests import fakes as store_fakes
from catkinshunt import dissemination
from catkinshunt.dissemination import grpc_transport
from catkinshunt.dissemination.tests import fakes
from catkinshunt import httpio
from catkinshunt import kvstore
from catkinshunt import logs
from catkinshunt import peers
from standins import key_value

KEY = 'key-of-the-deployment'
#: Time of a round: one hop from process to process, over regions.
HOP_S = 0.05
#: Rounds after which pushes have ended.
PUSH_ROUNDS = 12
MAX_ROUNDS = 400
CHANGES = 20
SOCKET_CHANGES = 3
#: Within which an accepted revision is to be in force everywhere.
IN_FORCE_S = 5.0
RULES = 100
PULL_PERIOD_S = 1.0
POLL_PERIOD_S = 5.0
IDLE_S = 3.0


def make_history(length):
    """Return the first revision with `RULES` rules and `length` edits."""
    rules = [store_fakes.make_rule(f'r{number}') for number in range(RULES)]
    steps = [configuration.Add(rule, n) for n, rule in enumerate(rules)]
    found = [configuration.EMPTY.edited('first', steps)]
    for number in range(length):
        step = configuration.Add(store_fakes.make_rule(f'e{number}'), 0)
        found.append(found[-1].edited(f'edit-{number}', (step,)))
    return found


HISTORY = make_history(CHANGES)


class Rounds:
    """One fleet in memory, driven a hop at a time.

    Args:
        size: how many processes.
        fanout: offers of each process a revision.
        dead_share: share of the processes that are listed and dead.
    """

    def __init__(self, size, fanout, dead_share):
        self.rng = random.Random(size)
        self.fleet = fakes.Fleet(size, 3, fanout, random_state=1)
        self.names = list(self.fleet.config_replicas)
        self.fleet.accept(HISTORY[0], self.names)
        self.fleet.push(0.0)
        dead = self.rng.sample(self.names, round(dead_share * size))
        self.fleet.network.dead = set(dead)
        self.alive = [name for name in self.names if name not in dead]
        self.round = 0
        self.fleet.network.messages = self.fleet.network.sent_bytes = 0
        self.pulls = 0

    def spread(self, found, pulls):
        """Return the share missed by pushes, and the rounds to the last."""
        self.fleet.accept(found, self.rng.sample(self.alive, 2))
        missed = last = None
        for number in range(1, MAX_ROUNDS):
            self.round += 1
            self.fleet.push(self.round * HOP_S)
            behind = self.fleet.behind(found.revision)
            if not behind and last is None:
                last = number
            if number == PUSH_ROUNDS:
                missed = len(behind) / len(self.alive)
            if missed is not None and (last is not None or not pulls):
                break
            if pulls:
                self._pull()
        if not pulls:
            self._catch_up(found.revision)
        return missed, last

    def _catch_up(self, revision):
        """Bring the processes that were missed up to date, uncounted."""
        network = self.fleet.network
        counted = network.messages, network.sent_bytes
        while behind := self.fleet.behind(revision):
            self.fleet.pull(self.round * HOP_S, behind)
        self.fleet.push(self.round * HOP_S)
        network.messages, network.sent_bytes = counted

    def _pull(self):
        """Let those processes pull whose turn it is."""
        period = round(PULL_PERIOD_S / HOP_S)
        names = self.names[self.round % period :: period]
        before = self.fleet.network.messages
        self.fleet.pull(self.round * HOP_S, names)
        self.pulls += self.fleet.network.messages - before


def measure_rounds(size, fanout, dead_share, pulls=True):
    """Return the row of one fleet in memory."""
    rounds = Rounds(size, fanout, dead_share)
    spread = [rounds.spread(found, pulls) for found in HISTORY[1:]]
    network = rounds.fleet.network
    count = len(spread) * len(rounds.alive)
    row = {
        'processes': size,
        'fanout': fanout,
        'dead': dead_share,
        'missed_by_push': statistics.mean(missed for missed, _ in spread),
        'pushes_each': (network.messages - rounds.pulls) / count,
        'bytes_each': network.sent_bytes / count,
    }
    if pulls:
        row['rounds_to_last'] = max(last for _, last in spread)
    return row


@attrs.define
class Node:
    """The control parts of one process over real sockets."""

    config_replica: configuration.ConfigurationReplica
    disseminator: dissemination.Disseminator
    server: peers.PeerServer
    pool: peers.PeerPool
    watcher: dissemination.Watcher


class SocketFleet:
    """Nodes in this process, which share a few loops.

    Args:
        size: how many.
        dead: how many of them are listed but answer nothing.
        period_s: mean seconds between pulls.
    """

    def __init__(self, size, dead=0, period_s=PULL_PERIOD_S):
        self.size = size
        self.dead = dead
        self.period_s = period_s
        self.service = key_value.KeyValueService()
        self.http = httpio.HttpServer(self.service.app, threads=64).start()
        address = httpio.Address('127.0.0.1', self.http.port)
        self.store = kvstore.HttpKeyValueStore(address)
        self.loops = [peers.LoopThread().start() for _ in range(4)]
        self.members = ()
        self.nodes = [self._make_node(number) for number in range(size)]
        self.members = tuple(
            fakes.make_instance(f'i{n}', f'dc{n % 3}', node.server.port)
            for n, node in enumerate(self.nodes)
        )
        for node in self.nodes[:dead]:
            node.server.stop()
        self.alive = self.nodes[dead:]
        for node in self.alive:
            node.disseminator.start()
            node.watcher.start()

    def _make_node(self, number):
        name, place = f'i{number}', f'dc{number % 3}'
        loop = self.loops[number % len(self.loops)]
        config_replica = configuration.ConfigurationReplica()
        pool = peers.PeerPool(KEY, loop)
        disseminator = dissemination.Disseminator(
            name,
            place,
            (config_replica,),
            grpc_transport.GrpcPeerTransport(name, pool),
            lambda: self.members,
            pull_period_s=self.period_s,
            random_state=number,
        )
        source = configuration.StoreSource(self.store, config_replica)
        election = dissemination.WatchElection(
            source.topic, name, place, disseminator.peer_health
        )
        disseminator.elections = (election,)
        watcher = dissemination.Watcher(
            source, election, lambda: self.members, wait_s=10.0
        )
        config_replica.subscribe(disseminator.wake)
        handler = grpc_transport.Handler(disseminator)
        server = peers.PeerServer([handler], '127.0.0.1', 0, KEY, loop)
        return Node(
            config_replica, disseminator, server.start(), pool, watcher
        )

    def wait(self, revision):
        """Wait until every live node has `revision`."""
        for node in self.alive:
            if node.config_replica.wait(revision - 1, 30).revision < revision:
                raise SystemExit(f'revision {revision} did not arrive')

    def stop(self):
        """Stop all nodes and the stand-in."""
        for node in self.alive:
            node.watcher.stop()
        for node in self.alive:
            node.disseminator.stop()
            node.server.stop()
            node.pool.close()
        for loop in self.loops:
            loop.stop()
        self.service.faults = key_value.Faults(down=True)
        self.http.stop()


def put(store, found, revision):
    """Write a configuration; return the key's revision."""
    return store.put(configuration.KEY, found.document, revision)


def measure_sockets(size, dead_share=0.0):
    """Return the row of one fleet over real sockets."""
    fleet = SocketFleet(size, dead=round(dead_share * size))
    revision = put(fleet.store, HISTORY[0], 0)
    fleet.wait(1)
    idle_ms = _idle_ms(len(fleet.alive))
    calls = sum(fleet.service.calls.values())
    times = []
    used_s = time.process_time()
    for found in HISTORY[1 : 1 + SOCKET_CHANGES]:
        start = time.monotonic()
        revision = put(fleet.store, found, revision)
        fleet.wait(found.revision)
        times.append(time.monotonic() - start)
    used_s = time.process_time() - used_s
    calls = sum(fleet.service.calls.values()) - calls
    fleet.stop()
    return {
        'processes': size,
        'dead': dead_share,
        'median_s': statistics.median(times),
        'worst_s': max(times),
        'service_calls_per_change': calls / SOCKET_CHANGES,
        'poll_calls_per_s': size / POLL_PERIOD_S,
        'idle_cpu_ms_per_s': idle_ms,
        'cpu_ms_per_change': 1000 * used_s / SOCKET_CHANGES / len(fleet.alive),
    }


def _idle_ms(count):
    """Return processor milliseconds a second that each node idles with."""
    threading.Event().wait(1.0)
    before, start = time.process_time(), time.monotonic()
    threading.Event().wait(IDLE_S)
    used_s = time.process_time() - before
    return 1000 * used_s / (time.monotonic() - start) / count


def measure_outage(size=50):
    """Return seconds to the last where the service fails at once.

    The operator's command hands the accepted revision to three processes
    itself; the watchers never see it.
    """
    fleet = SocketFleet(size)
    put(fleet.store, HISTORY[0], 0)
    fleet.wait(1)
    fleet.service.faults = key_value.Faults(down=True)
    with fleet.service._changed:
        fleet.service._changed.notify_all()
    pool = peers.PeerPool(KEY, fleet.loops[0])
    operator = grpc_transport.GrpcPeerTransport('operator', pool)
    start = time.monotonic()
    told = configuration.announce(HISTORY[1], operator, fleet.members, 0)
    fleet.wait(2)
    took = time.monotonic() - start
    pool.close()
    fleet.stop()
    return {'processes': size, 'told': told, 'to_last_s': took}


def main():
    """Print the tables, write the result, check the bounds."""
    logs.configure(level='ERROR')
    fanouts = [
        measure_rounds(200, fanout, 0.0, pulls=False)
        for fanout in (2, 3, 4, 6)
    ]
    _print('pushes alone, 200 processes', fanouts)
    rounds = [
        measure_rounds(size, dissemination.FANOUT, dead)
        for size in (10, 50, 200, 1000)
        for dead in (0.0, 0.05)
    ]
    _print('pushes and pulls in rounds', rounds)
    sockets = [
        measure_sockets(10),
        measure_sockets(50),
        measure_sockets(200),
        measure_sockets(200, 0.05),
    ]
    _print('over sockets, all in one process', sockets)
    outage = [measure_outage()]
    _print('service down right after acceptance', outage)
    rss = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    print(f'  resident at most {rss / 1024:.0f} MB')
    report.write_result(
        'bench_configuration',
        {
            'fanouts': fanouts,
            'rounds': rounds,
            'sockets': sockets,
            'outage': outage,
        },
    )
    _check(rounds, sockets)


def _print(title, rows):
    columns = list(rows[0])
    report.print_table(
        title, columns, [[row[c] for c in columns] for row in rows]
    )


def _check(rounds, sockets):
    small, large = sockets[0], sockets[2]
    report.check_bounds(
        report.Bound(
            'service calls a change, 200 over 10 processes',
            large['service_calls_per_change']
            / small['service_calls_per_change'],
            at_most=3.0,
        ),
        report.Bound(
            'pushes of each process a change',
            max(row['pushes_each'] for row in rounds),
            at_most=dissemination.FANOUT,
        ),
        report.Bound(
            'seconds of hops to the last of 1000 with 5 % dead',
            rounds[-1]['rounds_to_last'] * HOP_S,
            at_most=IN_FORCE_S,
        ),
    )


if __name__ == '__main__':
    main()
