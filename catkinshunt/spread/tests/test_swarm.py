"""Many members fetch one version together over slow links."""

import asyncio
import random

from catkinshunt.spread.tests import swarm

import pytest

#: 31 members in three data centres, as they stood in the incident.
THREE_DATA_CENTRES = swarm.Scale({'larisa': 11, 'piraeus': 10, 'sindos': 10})
#: The same with 12 added engines, eight of which begin late.
GROWN = swarm.Scale({'larisa': 13, 'piraeus': 17, 'sindos': 13})
LATE_MEMBERS = (11, 12, 26, 27, 28, 29, 30, 42)
#: 76 members in five data centres.
FIVE_DATA_CENTRES = swarm.Scale(
    {'larisa': 16, 'piraeus': 15, 'sindos': 15, 'patra': 15, 'iraklio': 15},
    region_mbps=12.0,
)
#: Times that the origin's link needs for what is missing within which the
#: origin is to have given it, once it is back.
MAX_RECOVERY_RATIO = 1.2
#: Seconds until a sidecar that was killed is back.
DOWN_S = 0.8
#: Times of one copy over the own link within which all are to have it where
#: nothing fails, and where some die: a version is due after two and a half,
#: and loading takes the rest.
MAX_FAULTLESS_COPY_TIMES = 1.5
MAX_COPY_TIMES = 2.0
#: Copies that the origin is to send at most: a chunk once, and once more
#: where whoever was to pass it on has died.
MAX_ORIGIN_COPIES = 2.0


class Fault:
    """Members that are dead, begin late or have a narrow link."""

    def __init__(self, scale, numbers):
        self.swarm = swarm.Swarm(scale)
        self.instances = [
            self.swarm.instances[self.swarm.members[number].name]
            for number in numbers
        ]

    async def announce_version(self, start_after_s, answering=False):
        """Name a version; the members with a fault begin later.

        Args:
            start_after_s: seconds after which they begin.
            answering: they live until then, and are not dead.
        """
        for instance in self.instances:
            instance.kill()
        self.swarm.announce_version(2)
        for instance in self.instances if answering else ():
            instance.run_without_transfer()
        await asyncio.sleep(start_after_s)
        for instance in self.instances:
            instance.start(2)

    def narrow(self, share):
        """Leave a share of their links to these members."""
        for instance in self.instances:
            instance.uplink.bytes_per_s *= share
            instance.downlink.bytes_per_s *= share

    def completion_times_s(self):
        """Return when the other members had the version, in order."""
        others = [
            b for b in self.swarm.instances.values() if b not in self.instances
        ]
        assert all(instance.completed_at is not None for instance in others)
        return sorted(instance.completed_at for instance in others)


def run_with_dead_members(scale, dead, down_s=DOWN_S):
    """Name a version to a swarm in which some members are dead."""

    async def scenario():
        fault = Fault(scale, dead)
        await fault.announce_version(start_after_s=down_s)
        await fault.swarm.wait(8 * scale.copy_s)
        return fault.swarm

    return swarm.run_in_virtual_time(scenario)


def check_completion(found, max_copy_times=MAX_COPY_TIMES):
    """Hold the time of the last member and the bytes of the origin."""
    completion_times_s = found.completion_times_s()
    assert len(completion_times_s) == len(found.members)
    assert completion_times_s[-1] <= max_copy_times * found.scale.copy_s
    assert found.origin_copies <= MAX_ORIGIN_COPIES


def test_origin_sends_one_copy_without_failures():
    found = run_with_dead_members(THREE_DATA_CENTRES, dead=(), down_s=0.0)
    check_completion(found, MAX_FAULTLESS_COPY_TIMES)
    # Beside the chunks each owner takes the manifest.
    assert found.origin_copies < 1.1


def test_dead_members_do_not_cause_many_origin_fetches():
    """Five of 31 sidecars are killed as a version is named.

    Each of the others lost the source of a fifth of its chunks and took them
    from the origin itself, whose link carries less than one member's. It was
    busy with the same chunks for 15 s (`Waits for 45 chunks of version 2`,
    `origin: 12` on 18 to 25 of 31 members; 330 chunks sent of a version of
    96), and everybody waited for it. Callers saw no answers from models once
    the version was due.
    """
    found = run_with_dead_members(THREE_DATA_CENTRES, dead=(3, 4, 10, 13, 22))
    check_completion(found)


def test_members_that_start_late_do_not_delay_others():
    """Eight added engines end the transfer of an older version first.

    Others are to take a fifth of the chunks from them. They are there and
    answer, so nothing seems to fail, and a version came after 15 s.
    """

    async def scenario():
        fault = Fault(GROWN, LATE_MEMBERS)
        await fault.announce_version(
            start_after_s=GROWN.copy_s, answering=True
        )
        await fault.swarm.wait(8 * GROWN.copy_s)
        return fault

    completion_times_s = swarm.run_in_virtual_time(
        scenario
    ).completion_times_s()
    assert completion_times_s[-1] <= MAX_COPY_TIMES * GROWN.copy_s


def test_members_with_narrow_links_do_not_delay_others():
    """The links of three members are narrowed to a quarter.

    They go on giving a chunk now and then; all others had the version after
    14 to 18 s, too late for the moment at which it was due.
    """

    async def scenario():
        fault = Fault(THREE_DATA_CENTRES, (4, 14, 24))
        fault.narrow(0.25)
        fault.swarm.announce_version(2)
        await fault.swarm.wait(8 * THREE_DATA_CENTRES.copy_s)
        return fault

    fault = swarm.run_in_virtual_time(scenario)
    assert (
        fault.completion_times_s()[-1]
        <= MAX_COPY_TIMES * THREE_DATA_CENTRES.copy_s
    )
    assert all(instance.completed_at for instance in fault.instances)
    assert fault.swarm.origin_copies <= MAX_ORIGIN_COPIES


def test_frozen_member_does_not_delay_others():
    """A member stands still in the middle of a transfer, for six seconds.

    It gives no sign; whoever waits for it notices after some seconds and
    takes its chunks from the member that stands in for it.
    """

    async def scenario():
        fault = Fault(THREE_DATA_CENTRES, (14,))
        fault.swarm.announce_version(2)
        await asyncio.sleep(THREE_DATA_CENTRES.copy_s / 3)
        for instance in fault.instances:
            instance.frozen = True
        await asyncio.sleep(6.0)
        for instance in fault.instances:
            instance.frozen = False
        await fault.swarm.wait(8 * THREE_DATA_CENTRES.copy_s)
        return fault

    completion_times_s = swarm.run_in_virtual_time(
        scenario
    ).completion_times_s()
    assert completion_times_s[-1] <= MAX_COPY_TIMES * THREE_DATA_CENTRES.copy_s


def test_recovered_origin_sends_each_missing_chunk_once():
    """While it is away, members must not scatter what nobody has."""

    async def scenario():
        found = swarm.Swarm(FIVE_DATA_CENTRES)
        found.announce_version(2)
        await asyncio.sleep(2.5)
        found.origin_down = True
        await asyncio.sleep(6.0)
        found.origin_down = False
        missing = FIVE_DATA_CENTRES.chunks - len(found.origin_given)
        returned_at = asyncio.get_running_loop().time()
        while len(found.origin_given) < FIVE_DATA_CENTRES.chunks:
            await asyncio.sleep(0.01)
        took_s = asyncio.get_running_loop().time() - returned_at
        await found.wait(8 * FIVE_DATA_CENTRES.copy_s)
        needed_s = (
            missing * FIVE_DATA_CENTRES.chunk_bytes / found.origin.bytes_per_s
        )
        return found, took_s / needed_s

    found, times = swarm.run_in_virtual_time(scenario)
    assert max(found.origin_given.values()) == 1
    assert times <= MAX_RECOVERY_RATIO
    assert len(found.completion_times_s()) == len(found.members)


@pytest.mark.parametrize('unlisted_count', [1, 4])
@pytest.mark.parametrize('seed', [1, 2])
def test_different_member_lists_cause_no_wait_cycle(seed, unlisted_count):
    """Each misses other members that have just come, and chooses otherwise."""

    async def scenario():
        found = swarm.Swarm(FIVE_DATA_CENTRES)
        rng = random.Random(seed)
        names = [member.name for member in found.members]
        found.unlisted = {
            name: rng.sample(names, unlisted_count) for name in names
        }
        found.announce_version(2)
        await found.wait(8 * FIVE_DATA_CENTRES.copy_s)
        return found

    check_completion(swarm.run_in_virtual_time(scenario))
