"""Starts everything, lets faults come in series, and checks."""

import asyncio
import errno
import functools
import itertools
import os
import pathlib
import random
import signal
import time

from catkinshunt import http1
from standins.soak import _callers
from standins.soak import _era
from standins.soak import _final_fault
from standins.soak import _given
from standins.soak import _limits
from standins.soak import _parts
from standins.soak import _platform
from standins.soak import _processes
from standins.soak import _proxy
from standins.soak import _records
from standins.soak import _silences
from standins.soak import _statements
from standins.soak import _stutters

VERSION_S = 4.0
REVOKE_S = 2.0
#: Seconds between two changes of the store after the faults.
STIR_S = REVOKE_S / 8
DRAIN_S = 1.0
ZONES = ('larisa-a', 'piraeus-a')
ENGINE_PORT, PLAIN_PORT, FRONT_PORT, READY_PORT = 8704, 8708, 8005, 8002
INNER_PORTS = (7700, 7715)
PROXY_PORT, STORE_PORT, ORIGIN_PORT = 8705, 8007, 8006
#: Second numbers of the addresses of runs: the first one, and how many.
FIRST_NETWORK, NETWORKS = 16, 200
#: Most seconds between two faults, and most that one lasts.
PAUSE_S, FAULT_S = 1.0, 2.5
#: Most seconds between two faults in quiet seeds. Each fault of an entry
#: excuses what it does for a while.
QUIET_PAUSE_S, QUIET_SHARE = 6.0, 0.6
#: Whether seeds may draw a request that crashes the engines that run it.
CRASHES = True
#: Whether the store goes back in the short run with silences.
ERAS = True
#: How many times as likely it is drawn as another fault, so that most of a
#: run has it.
CRASH_WEIGHT = 3
#: Seconds after which the entry of a crashed engine lapses, and shortest and
#: longest time until the engine is back.
LAPSE_S, AWAY_S = 1.0, (0.5, 2.5)
#: Between the numbers of an engine's starts; even, so that its zone stays.
START_STEP = 100
#: Callers that repeat other requests beside the one that crashes engines.
REPEATERS = 3
#: Callers for each one more that repeats its request at once, in runs in
#: which all processes are killed.
REPEATER_SHARE = 4
#: Slots of an engine in these runs. They are few, so that callers press beyond
#: what engines serve before the stand-ins take all of the machine.
RETURN_SLOTS = 4
#: Seconds for which a chunk occupies the link of the origin in these runs.
ORIGIN_CHUNK_S = 0.3
#: Seconds until engines must serve again after the last crash, and requests
#: that are sent to each entry at once to see it.
BACK_S, AT_ONCE = 15.0, 4

_RUNS = itertools.count()


class Soak:
    """One seeded run.

    Args:
        folder: for settings and logs.
        seed: decides everything that is left to chance.
        entries: number of entries.
        sidecars: number of engines with a sidecar each.
        callers: number of callers.
        crashes: whether a request may crash engines.
        limits: whether upstreams may state limits.
        statements: whether upstreams may leave and ask for back-off.
        silences: whether upstreams may fall silent.
        eras: whether the store may go back to a copy, and upstreams leave
            around it.
        parts: whether a part of prompts crashes engines.
        returns: whether all processes are killed at one moment, in place of
            the other faults, and must serve again.
        stutters: whether upstreams may answer twice, late, cut or spoilt.
    """

    def __init__(
        self, folder, seed=1, entries=2, sidecars=4, callers=6,
        crashes=CRASHES, limits=True, statements=True, silences=False,
        eras=False, parts=False, returns=False, stutters=False,
    ):  # fmt: skip
        self.folder = pathlib.Path(folder)
        self.random = random.Random(seed)
        self.sizes = (entries, sidecars, callers)
        self.crashes = crashes
        self.limits = limits
        self.statements = statements
        self.silences = silences
        self.eras = eras
        self.parts = parts
        self.returns = returns
        self.stutters = stutters
        self.slots = RETURN_SLOTS if returns else _platform.SLOTS
        self.returned = None
        self.drawn = []
        # Of their own, so that the faults of a seed stay the same.
        self.limit_random = random.Random(f'limits {seed}')
        self.statement_random = random.Random(f'statements {seed}')
        self.silence_random = random.Random(f'silences {seed}')
        self.era_random = random.Random(f'eras {seed}')
        self.part_random = random.Random(f'parts {seed}')
        self.return_random = random.Random(f'returns {seed}')
        self.stutter_random = random.Random(f'stutters {seed}')
        is_quiet = silences and self.silence_random.random() < QUIET_SHARE
        is_quiet |= eras and self.era_random.random() < QUIET_SHARE
        is_quiet |= stutters and self.stutter_random.random() < QUIET_SHARE
        self.pause_s = QUIET_PAUSE_S if is_quiet else PAUSE_S
        self.repeating, self.returning = [], []
        self.until = None
        self.clock = asyncio.get_running_loop().time
        self.records = _records.Records(VERSION_S, REVOKE_S, DRAIN_S)
        self.store = _era.Store()
        #: What the operator has written, by key.
        self.declared = {}
        self.processes, self.proxies, self.upstreams = [], [], {}
        self._listeners = []
        self.store_stutter = _stutters.Stutter(self.records.stutters)
        self.origin_stutter = _stutters.Stutter(self.records.stutters)
        #: Addresses of processes by name.
        self.places = {}
        self.keys = ['k0', 'k1', 'k2', 'k3']
        self.version, self.revision = 1, 1
        # Ports are the same on all instances, so each gets an address of
        # its own; process id and count keep runs apart.
        self._network = os.getpid() % NETWORKS
        self._run = next(_RUNS) % 250
        self._hosts = itertools.count(1)

    async def run(self, duration_s):
        """Run for a time; return the promises that were broken."""
        publish = asyncio.ensure_future(self._publish())
        try:
            await self._start()
            if self.returns:
                await self._work_around_return(self.clock() + duration_s)
            else:
                await self._work(self.clock() + duration_s)
        finally:
            if publish.done():
                # Without what engines say of themselves nothing is shown.
                publish.result()
            publish.cancel()
            for process in self.processes:
                await asyncio.to_thread(process.end)
            self._close()
        broken = self.records.find_broken()
        if self.returned is not None:
            broken += self.returned.check(self.records.answers)
        if self.stutters:
            answers = self.records.find_answers_in_touch()
            broken += _given.find_lack(answers, self.records.revoked)
        return broken

    def _close(self):
        """Free the addresses, which a later run may take."""
        for upstream, _ in self.upstreams.values():
            upstream.close()
        for proxy in self.proxies:
            proxy.stop()
        for listener in self._listeners:
            listener.close()

    async def _work(self, until):
        """Let callers work while faults come, until a time on the clock."""
        self.until = until
        work = [caller.run(until) for caller in self._make_callers()]
        if self.limits:
            work.append(self._make_limit_changes().run(until - FAULT_S))
        if self.statements:
            work.append(self._make_statement_changes().run(until - FAULT_S))
        if self.silences:
            work.append(self._make_silence_changes().run(until - FAULT_S))
        if self.eras:
            work.append(self._make_drills().run(until - FAULT_S))
        if self.parts:
            work += [c.run(until) for c in self._make_prompt_callers()]
        if self.stutters:
            work.append(self._make_stutter_changes().run(until - FAULT_S))
        await asyncio.gather(*work, self._harm(until - FAULT_S))
        await asyncio.gather(*self.repeating)
        if self.records.crashes:
            await self._recover()

    async def _work_around_return(self, fault_at):
        """Let callers work while all processes are killed and come back."""
        fault = _final_fault.FinalFault(
            self.processes,
            self.upstreams,
            self.store,
            self._lose_weights,
            lambda: self._name_version(0.0),
            self._write_upstream,
            self.return_random,
            self.clock,
        )
        callers = [
            self._make_caller(_callers.DistinctCaller, f'c{number}')
            for number in range(self.sizes[2])
        ]
        for number in range(self.sizes[2] // REPEATER_SHARE):
            caller = self._make_caller(_callers.Repeater, f'r{number}')
            caller.contents = _name_contents(caller.name)
            callers.append(caller)
        most_s = _final_fault.DOWN_S[1] + _final_fault.RECOVERY_S
        until = fault_at + most_s + _final_fault.COUNTED_S
        self.returned, *_ = await asyncio.gather(
            fault.run(fault_at), *(caller.run(until) for caller in callers)
        )
        self.drawn = fault.drawn
        # Nothing that happens around the fault is held against the others.
        since = self.returned.killed_at - _final_fault.CRASH_LEAD_S
        for process in self.processes:
            self._note_interruption(since, process.name)

    async def _lose_weights(self, name, away_s):
        """Let an engine crash and come back without weights."""
        upstream, host = self.upstreams[name]
        proxy = next(each for each in self.proxies if each.name == name)
        upstream.lose_weights()
        proxy.stop()
        await asyncio.sleep(_final_fault.LAPSE_S)
        self.store.put(f'servers/{name}', None)
        await asyncio.sleep(away_s)
        await self._start_again(upstream, proxy)

    def _make_prompt_callers(self):
        crashing = [True] * _parts.CRASHING_CALLERS
        for number, crashes in enumerate(
            crashing + [False] * _parts.SOUND_CALLERS
        ):
            chance = random.Random(self.part_random.random())
            caller = _callers.PromptCaller(
                f'{"b" if crashes else "s"}{number}',
                [http1.Pool(h, FRONT_PORT, self.clock) for h in self.fronts],
                self.records,
                functools.partial(chance.choice, _parts.KEYS),
                chance,
                self.clock,
            )
            caller.crashes = crashes
            yield caller

    def _make_limit_changes(self):
        return _limits.LimitChanges(
            self.upstreams, self._restart, self.limit_random, self.clock
        )

    def _make_statement_changes(self):
        return _statements.StatementChanges(
            self.upstreams,
            self._restart,
            lambda name: self._write_upstream(name, 'draining'),
            self.statement_random,
            self.clock,
        )

    def _make_silence_changes(self):
        return _silences.SilenceChanges(
            self.upstreams,
            self.records,
            lambda name: self.store.put(f'servers/{name}', None),
            self._replace,
            self.silence_random,
            self.clock,
        )

    def _make_stutter_changes(self):
        others = [self.origin_stutter]
        if self.stutter_random.random() < _stutters.STORE_SHARE:
            others.append(self.store_stutter)
        return _stutters.StutterChanges(
            lambda: [u.stutter for u, _ in self.upstreams.values()] + others,
            self.stutter_random,
            self.clock,
        )

    def _make_drills(self):
        return _era.Drills(
            self.store,
            self.upstreams,
            self.declared,
            self._configure,
            self.records,
            self._write_upstream,
            self._replace,
            self.era_random,
            self.clock,
        )

    async def _replace(self, name):
        """End an upstream and start another one in its place."""
        if self.upstreams[name][0].gone:
            # It has crashed, and another one is about to start.
            return
        upstream, host = self.upstreams.pop(name)
        proxy = next(each for each in self.proxies if each.name == name)
        proxy.name = _next_name(name)
        self.upstreams[proxy.name] = (upstream, host)
        self.store.put(f'servers/{name}', None)
        port = PLAIN_PORT if upstream.version is None else ENGINE_PORT
        await upstream.restart(host, port, proxy.name)
        self._write_upstream(proxy.name)

    async def _restart(self, name):
        """Restart an upstream under its name."""
        upstream, host = self.upstreams[name]
        is_held = upstream.is_dead or name in self.records.left
        if not upstream.gone and not is_held:
            port = PLAIN_PORT if upstream.version is None else ENGINE_PORT
            await upstream.restart(host, port)
            self._write_upstream(name)

    async def _recover(self):
        """Wait until engines serve again, and ask for the bystanders."""
        await asyncio.gather(*self.returning)
        # An entry that was out of touch may be so until then.
        faults = self.records.store_faults
        calm_at = max((until for _, until in faults), default=0.0)
        await asyncio.sleep(max(0.0, calm_at - self.clock()))
        await self._until_ready()
        stirring = asyncio.ensure_future(self._stir())
        try:
            await self._ask_again()
        finally:
            stirring.cancel()

    async def _ask_again(self):
        """Ask until entries serve again, then once for each bystander."""
        askers = [
            self._make_caller(_callers.Caller, f'last-{host}', hosts=[host])
            for host in self.fronts
        ]
        fresh = _name_contents('fresh')
        limit = self.clock() + BACK_S
        while True:
            answers = await asyncio.gather(
                *(
                    asker.ask('chat', next(fresh))
                    for asker in askers
                    for _ in range(AT_ONCE)
                )
            )
            if all(answer.whole for answer in answers):
                break
            if self.clock() > limit:
                return
            await asyncio.sleep(_platform.EVENT_S)
        self.records.back_at = self.clock()
        for identity in self.records.find_bystanders():
            kind, key, content, prompt = identity
            asker = self.random.choice(askers)
            await asker.ask(kind, content, key, prompt=prompt)

    async def _stir(self):
        """Change the store again and again.

        With a bound as short as `REVOKE_S` entries refuse all requests for a
        part of each watch in which nothing changes.
        """
        while True:
            left = self.records.left
            self._write_upstream(
                next(
                    n for n in self.upstreams if n[0] == 'p' and n not in left
                )
            )
            await asyncio.sleep(STIR_S)

    # Start.

    def _host(self):
        network = FIRST_NETWORK + self._network
        return f'127.{network}.{self._run}.{next(self._hosts)}'

    async def _take_network(self):
        """Serve the store on the first address of a network of its own.

        Process ids of other runs can give the same network.
        """
        for _ in range(NETWORKS):
            self._hosts = itertools.count(1)
            self.base = self._host()
            try:
                listener = await _platform.listen(
                    self.store.answer,
                    self.base,
                    STORE_PORT,
                    self.clock,
                    self.store_stutter,
                )
            except OSError as exc:
                if exc.errno != errno.EADDRINUSE:
                    raise
            else:
                self._listeners.append(listener)
                return
            self._network = (self._network + 1) % NETWORKS
        raise OSError(errno.EADDRINUSE, 'all networks are in use')

    async def _start(self):
        entries, sidecars, _ = self.sizes
        await self._take_network()
        self._listeners.append(
            await _platform.listen(
                _platform.Origin(
                    lambda: self.version,
                    ORIGIN_CHUNK_S if self.returns else 0.0,
                ).answer,
                self.base,
                ORIGIN_PORT,
                self.clock,
                self.origin_stutter,
            )
        )
        self._configure()
        for number in range(2):
            await self._add_upstream(f'p{number}', 'desk', None, PLAIN_PORT)
        for number in range(sidecars):
            version = 1 if number < sidecars - 1 else 0
            name = f'e{number}'
            host = await self._add_upstream(
                name, 'engines', version, ENGINE_PORT
            )
            await self._add_process(f'side-{number}', 'sidecar', host)
        for number in range(entries):
            await self._add_process(f'edge-{number}', 'entry', self._host())
        self.fronts = [
            p.place for p in self.proxies if p.name.startswith('ed')
        ]
        await self._until_ready()

    async def _add_upstream(self, name, service, version, port):
        host = self._host()
        upstream = _platform.Upstream(
            name, service, self.records, self.clock, version, self.slots
        )
        await upstream.start(host, port)
        proxy = await _proxy.Proxy(host, port).start(host, PROXY_PORT)
        proxy.name, proxy.place = name, host
        proxy.resets = self.stutters
        upstream.on_crash = lambda: self._lose(upstream, proxy)
        self.proxies.append(proxy)
        self.upstreams[name] = (upstream, host)
        self._write_upstream(name)
        return host

    def _write_upstream(self, name, state='ready'):
        upstream, host = self.upstreams[name]
        zone = ZONES[int(name[1:]) % len(ZONES)]
        entry = upstream.entry(f'{host}:{PROXY_PORT}', zone, state)
        self.store.put(f'servers/{name}', entry)

    async def _add_process(self, name, role, host):
        """Start a process with a way of its own to the store."""
        proxy = _proxy.Proxy(self.base, STORE_PORT)
        await proxy.start(host, STORE_PORT)
        proxy.name, proxy.place = name, host
        self.places[name] = host
        self.proxies.append(proxy)
        path = self.folder / f'{name}.toml'
        path.write_text(self._settings(name, role, host))
        process = _processes.Process(
            name, role, str(path), str(self.folder / f'{name}.log')
        )
        process.start()
        self.processes.append(process)

    def _settings(self, name, role, host):
        zone = ZONES[int(name[-1]) % len(ZONES)]
        lines = [
            f'node_name = "{name}"',
            f'ip = "{host}"',
            f'zone = "{zone}"',
            f'port_range = [{INNER_PORTS[0]}, {INNER_PORTS[1]}]',
        ]
        if role == 'sidecar':
            lines.append(f'app = "{host}:{ENGINE_PORT}"')
            lines.append('service = "engines"')
        lines.append('[zones]')
        lines += [f'{zone} = "{zone}-region"' for zone in ZONES]
        lines.append('[listen]')
        if role == 'entry':
            lines.append(f'frontend = "{host}:{FRONT_PORT}"')
            lines.append(f'ready = "{host}:{READY_PORT}"')
        lines += ['[limits]', 'link_mbps = 100.0']
        lines += ['[platform]', f'address = "{host}:{STORE_PORT}"']
        lines += [
            '[bounds]',
            f'version_ms = {int(VERSION_S * 1000)}',
            f'revoke_ms = {int(REVOKE_S * 1000)}',
            f'drain_ms = {int(DRAIN_S * 1000)}',
            'grace_s = 6',
        ]
        return '\n'.join(lines) + '\n'

    def _declare(self, key, document):
        """Write a document of the operator."""
        self.declared[key] = document
        self.store.put(key, document)

    def _configure(self):
        """Write the next configuration."""
        self.revision += self.random.randint(1, 3)
        engine = {
            'slots': self.slots,
            'models': [{'name': _platform.MODEL, 'warm_s': 0.1}],
            'chunks': _platform.CHUNKS,
            'chunk_bytes': _platform.CHUNK_BYTES,
        }
        routes = [
            _route('chat', 'engines', 'streaming', 2),
            _route('book', 'desk', 'non_idempotent', 1),
        ]
        if self.stutters:
            routes.append(_route('look', 'desk', 'idempotent', 2))
        origin = f'{self.base}:{ORIGIN_PORT}'
        self._declare(
            'op/config',
            {
                'version': self.revision,
                'routes': routes,
                'services': [
                    {'name': 'engines', 'engine': engine},
                    {'name': 'desk'},
                    {'name': 'origin', 'origin': origin, 'max_conns': 30},
                ],
                'tenants': [
                    {'name': 't', 'api_keys': list(self.keys)},
                    *self._prompt_accounts(),
                ],
                'limits': {'idle_timeout_ms': 5000},
            },
        )

    def _prompt_accounts(self):
        keys = _parts.KEYS if self.parts else ()
        return [{'name': f't-{key}', 'api_keys': [key]} for key in keys]

    async def _until_ready(self):
        async with asyncio.timeout(30):
            for host in self.fronts:
                pool = http1.Pool(host, READY_PORT, self.clock)
                while not await _is_ready(pool):
                    await asyncio.sleep(0.1)

    def _make_callers(self):
        for number in range(self.sizes[2]):
            caller = self._make_caller(
                _callers.Caller,
                f'c{number}',
                lambda: self.random.choice(('k0', *self.keys, 'k3')),
            )
            if self.stutters:
                caller.kinds = _callers.STUTTER_KINDS
            yield caller

    def _make_caller(self, kind, name, keys=lambda: 'k0', hosts=None):
        pools = [
            http1.Pool(host, FRONT_PORT, self.clock)
            for host in hosts or self.fronts
        ]
        chance = random.Random(self.random.random())
        return kind(name, pools, self.records, keys, chance, self.clock)

    async def _publish(self):
        """Write to the store what engines say of themselves."""
        known = {}
        while True:
            for name, (upstream, _) in self.upstreams.items():
                absent = upstream.gone or upstream.is_dead
                if known.get(name) != upstream.version and not absent:
                    known[name] = upstream.version
                    if name not in self.records.left:
                        self._write_upstream(name)
            await asyncio.sleep(0.1)

    # Faults.

    async def _harm(self, until):
        """Let faults come in series that overlap."""
        faults = [
            self._harm_link,
            self._harm_upstream,
            self._harm_store,
            self._freeze,
            self._kill,
            self._stop,
            self._name_version,
            self._remove_key,
            self._change,
        ]
        crashes = [self._crash] * CRASH_WEIGHT if self.crashes else []
        running = []
        while self.clock() < until:
            # Once such a request comes, it comes until the end.
            first = [] if self.repeating else crashes
            fault = self.random.choice(faults + first)
            length_s = self.random.uniform(0.2, FAULT_S)
            running.append(asyncio.ensure_future(fault(length_s)))
            await asyncio.sleep(self.random.uniform(0.0, self.pause_s))
        await asyncio.gather(*running)

    async def _harm_link(self, length_s):
        proxy = self.random.choice(self.proxies)
        name = proxy.name
        proxy.fault = self.random.choice(_proxy.FAULTS)
        since = self.clock()
        await asyncio.sleep(length_s)
        proxy.fault = None
        self._note_fault(since, name)

    async def _harm_upstream(self, length_s):
        upstream, _ = self.random.choice(list(self.upstreams.values()))
        faults = ('reset', 'silent', 'full', 'lose')
        name, since = upstream.name, self.clock()
        upstream.fault = self.random.choice(faults)
        await asyncio.sleep(length_s)
        upstream.fault = None
        for each in {name, upstream.name}:
            self.records.break_offs[each].append((since, self.clock()))

    async def _harm_store(self, length_s):
        since = self.clock()
        kind = self.random.choice(('refuse', 'silent', 'slow', 'compact'))
        if kind == 'compact':
            self.store.compact()
        else:
            self.store.fault = kind
            await asyncio.sleep(length_s)
            self.store.fault = None
            self.records.store_disruptions.append((since, self.clock()))
        self._note_fault(since)

    def _note_interruption(self, since, name):
        """Note a time in which a process did not run."""
        self.records.interruptions[self.places[name]].append(
            (since, self.clock())
        )
        self._note_fault(since, name)

    def _note_fault(self, since, name=None):
        """Note a time in which processes may have been out of touch.

        Args:
            since: begin of the fault.
            name: process or upstream that had it; None for the store.
        """
        now = self.clock()
        self.records.store_faults.append((since, now + 3.0))
        if name is not None:
            place = self.places.get(name, name)
            self.records.disruptions[place].append((since, now))

    async def _freeze(self, length_s):
        process = self.random.choice(self.processes)
        since = self.clock()
        process.freeze()
        await asyncio.sleep(length_s)
        process.thaw()
        self._note_interruption(since, process.name)

    async def _kill(self, length_s, process=None):
        process = process or self.random.choice(self.processes)
        since = self.clock()
        # Faults overlap: another one may start the process again meanwhile.
        popen = process.popen
        process.send(signal.SIGKILL)
        await asyncio.sleep(length_s / 4)
        await asyncio.to_thread(popen.wait)
        process.start()
        self._note_interruption(since, process.name)

    async def _stop(self, length_s):
        process = self.random.choice(self.processes)
        since = self.clock()
        popen = process.popen
        process.send(signal.SIGHUP)
        process.send(signal.SIGTERM)
        if process.frozen:
            process.thaw()
        await asyncio.to_thread(popen.wait)
        process.start()
        self._note_interruption(since, process.name)

    async def _until_store_answers(self):
        """Wait until the store can acknowledge what the operator writes."""
        while self.store.is_away:
            await asyncio.sleep(_platform.EVENT_S)

    async def _name_version(self, length_s):
        await self._until_store_answers()
        self.version += 1
        self._declare(
            f'op/version/{_platform.MODEL}',
            {'model': _platform.MODEL, 'version': self.version},
        )
        self.records.named.append((self.version, self.clock()))

    async def _remove_key(self, length_s):
        await self._until_store_answers()
        if len(self.keys) > 1:
            key = self.keys.pop()
            self._configure()
            self.records.revoked[key] = self.clock()

    async def _change(self, length_s):
        self._configure()

    async def _crash(self, length_s):
        """Let a request crash engines from now on, with others beside it.

        What entries know of it must outlast one of them.
        """
        callers = [
            self._make_caller(_callers.Repeater, f'r{number}')
            for number in range(1 + REPEATERS)
        ]
        callers[0].contents = itertools.repeat(_platform.CRASHING)
        for caller in callers[1:]:
            caller.contents = _name_contents(caller.name)
        self.repeating += [
            asyncio.ensure_future(caller.run(self.until)) for caller in callers
        ]
        while len(self.records.crashes) < _records.MOST_CRASHES:
            if self.clock() > self.until - FAULT_S:
                return
            await asyncio.sleep(_platform.EVENT_S)
        await asyncio.sleep(_records.CONTACT_S)
        entries = [p for p in self.processes if p.role == 'entry']
        await self._kill(length_s, self.random.choice(entries))

    def _lose(self, upstream, proxy):
        """Let a crashed engine be away for a time."""
        proxy.stop()
        away_s = self.random.uniform(*AWAY_S)
        self.returning.append(
            asyncio.ensure_future(self._bring_back(upstream, proxy, away_s))
        )

    async def _bring_back(self, upstream, proxy, away_s):
        await asyncio.sleep(LAPSE_S)
        self.store.put(f'servers/{upstream.name}', None)
        await asyncio.sleep(away_s)
        await self._start_again(upstream, proxy)

    async def _start_again(self, upstream, proxy):
        """Start a crashed engine under another name."""
        _, host = self.upstreams.pop(upstream.name)
        upstream.name = _next_name(upstream.name)
        upstream.born = int(time.time() * 1000)
        upstream.begin_history()
        self.upstreams[upstream.name] = (upstream, host)
        await upstream.start(host, ENGINE_PORT)
        await proxy.start(host, PROXY_PORT)
        proxy.name = upstream.name
        self._write_upstream(upstream.name)


def _next_name(name):
    """Return the name of the next start of an upstream."""
    return f'{name[0]}{int(name[1:]) + START_STEP}'


def _name_contents(name):
    for number in itertools.count():
        yield f'{name} {number}'.encode()


def _route(name, service, kind, tries):
    return {
        'name': name,
        'host': _callers.HOST,
        'path_prefix': f'/{name}/',
        'route_kind': kind,
        'timeout_ms': 6000,
        'goal_ms': 500,
        'service': service,
        'max_attempts': tries,
        'resumable': kind == 'streaming',
    }


async def _is_ready(pool):
    try:
        head, _ = await http1.exchange(pool, 'GET', '/', timeout_s=0.5)
    except Exception:
        return False
    return head.status == 200
