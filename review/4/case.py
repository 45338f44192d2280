"""A sidecar freezes while it compares the staged pieces before an order."""

import asyncio
import signal
import statistics
import time

from review.rig import case
from review.rig import runner as runners
from review.rig import system as systems

SIDECARS, CLIENTS = 4, 6
#: One of the side machines stands still at a time. The site has `node_freeze`
#: with count 1 for 6.4 s; the runners have 0.06 of 96 pieces spoilt (`rot`).
FREEZE_S, SPOILT = 4.5, 5
#: Number of the read in the comparison after which the sidecar is stopped.
STOP_AFTER = 70
#: Time from the answer to a read until the stop, as a part of the usual time
#: until the next read: the sidecar has the answer, and has not asked again.
PART = 0.5
#: Versions that are named, until one was loaded spoilt; seconds for each.
VERSIONS, VERSION_S = 7, 14.0
#: Seconds until no more versions are named, and seconds until entries use a
#: runner again whose sidecar stood still.
END_S, SERVED_AGAIN_S = 80.0, 12.0


class Freezer:
    """Stops one sidecar in its comparison, and spoils staged pieces."""

    def __init__(self, system, record, version):
        self.system = system
        self.record = record
        self.version = version
        self.is_done = False
        self._read = {}
        self._gaps = []
        self._answered_at = {}
        for runner in system.runners:
            runner.on_staged_read = self.note_read

    def note_read(self, runner, index):
        """Count reads that come in order; stop the sidecar in the comparison.

        A sidecar reads all pieces before it fetches a version, and again to
        compare them before the order.
        """
        now = time.perf_counter()
        in_order = index == self._read.get(runner.name, 0)
        self._read[runner.name] = index + 1 if in_order or not index else 0
        if in_order and index and len(self._gaps) < 300:
            self._gaps.append(now - self._answered_at[runner.name])
        self._answered_at[runner.name] = now
        if self.is_done or self._read[runner.name] != STOP_AFTER:
            return
        if not self.system.holds(runner, self.version):
            return
        self.is_done = True
        until = now + PART * statistics.median(self._gaps)
        while time.perf_counter() < until:
            pass
        number = self.system.runners.index(runner)
        sidecar = self.system.sidecars[number]
        sidecar.send(signal.SIGSTOP)
        self.record.add(
            f'side-{number} stands still; it has compared the pieces 0 to'
            f' {index} of {runner.name} with version {self.version}'
        )
        asyncio.ensure_future(self._go_on(runner, sidecar, number))

    async def _go_on(self, runner, sidecar, number):
        await asyncio.sleep(0.2)
        spoilt = list(range(3, 3 + SPOILT))
        runner.spoil(spoilt)
        self.record.add(f'pieces {spoilt} of {runner.name} have turned bad')
        await asyncio.sleep(FREEZE_S - 0.2)
        sidecar.send(signal.SIGCONT)
        self.record.add(f'side-{number} goes on')


class System(systems.System):
    """A deployment whose runners show what is staged."""

    def holds(self, runner, version):
        """Return whether all pieces of a version are staged whole."""
        return all(
            runner.staged.get(i) == runners.piece(version, i)
            for i in range(runners.CHUNKS)
        )


async def send_streams(system, record, is_over):
    """Send generations one after the other, and record the answers."""
    while not is_over.is_set():
        request, answer = await system.stream()
        record.add(
            f'{request}: answered {answer.status}, whole: {answer.whole}'
        )
        await asyncio.sleep(0.1)


def find_broken(system, record):
    """Return the tokens that were made with unsound layers."""
    return [
        f'{run.request} ran at {record.at(run.at)} s on {run.runner} with'
        f' version {run.version}, loaded while {run.unsound}'
        for run in system.runs
        if run.unsound
    ]


async def wait_until_loaded(system, version):
    """Wait until all runners hold a version, and a little longer."""
    until = time.monotonic() + VERSION_S
    while time.monotonic() < until:
        if all(runner.version == version for runner in system.runners):
            break
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.5)


async def wait_for_run(system):
    """Wait until a runner with unsound layers has made a token.

    Entries use the runner again some seconds after its sidecar answers.
    """
    until = time.monotonic() + SERVED_AGAIN_S
    while (
        any(runner.unsound for runner in system.runners)
        and not any(run.unsound for run in system.runs)
        and time.monotonic() < until
    ):
        await asyncio.sleep(0.1)


async def play(system, record):
    """Name versions until one was loaded with spoilt pieces."""
    is_over = asyncio.Event()
    clients = [
        asyncio.ensure_future(send_streams(system, record, is_over))
        for _ in range(CLIENTS)
    ]
    began = time.monotonic()
    await asyncio.sleep(2)
    for version in range(2, 2 + VERSIONS):
        if case.has_trouble():
            Freezer(system, record, version)
        system.name_version(version)
        record.add(f'version {version} is named')
        await wait_until_loaded(system, version)
        for runner in system.runners:
            for at, number, fault in runner.loads[-1:]:
                record.add(
                    f'{runner.name} has version {number}, taken at'
                    f' {record.at(at)} s, {fault or "sound"}'
                )
        await wait_for_run(system)
        if find_broken(system, record) or time.monotonic() - began > END_S:
            break
    is_over.set()
    await asyncio.gather(*clients)
    return find_broken(system, record)


if __name__ == '__main__':
    case.run(play, lambda: System(entries=1, sidecars=SIDECARS))
