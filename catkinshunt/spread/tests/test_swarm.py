"""Many members fetch one version together over slow links."""

import asyncio

from catkinshunt.spread.tests import swarm

#: 31 members in three data centres, as they stood in the incident.
THREE_PLACES = swarm.Scale({'larisa': 11, 'piraeus': 10, 'sindos': 10})
#: Seconds until a sidecar that was killed is back.
DOWN_S = 0.8
#: Times of one copy over the own link within which all are to have it, also
#: where some die: a version is due after two and a half, and loading takes
#: the rest.
MOST_LINK_TIMES = 2.0
#: Copies that the origin is to send at most: a chunk once, and once more
#: where whoever was to pass it on has died.
MOST_COPIES = 2.0


def link_s(scale):
    """Return the seconds of one copy over the link of one member."""
    return scale.copy_bytes / swarm.Link(scale.link_mbps).bytes_per_s


def spread_with_deaths(scale, dead, down_s=DOWN_S):
    """Name a version to a swarm in which some members are dead."""

    async def day():
        found = swarm.Swarm(scale)
        boxes = [found.boxes[found.members[number].name] for number in dead]
        for box in boxes:
            box.kill()
        found.name(2)
        await asyncio.sleep(down_s)
        for box in boxes:
            box.start(2)
        await found.wait(8 * link_s(scale))
        return found

    return swarm.play(day)


def check_spread(found):
    """Hold the time of the last member and the bytes of the origin."""
    ends_s = found.ends_s()
    assert len(ends_s) == len(found.members)
    assert ends_s[-1] <= MOST_LINK_TIMES * link_s(found.scale)
    assert found.origin_copies <= MOST_COPIES


def test_without_failures_the_origin_sends_a_version_once():
    found = spread_with_deaths(THREE_PLACES, dead=())
    check_spread(found)
    # Beside the chunks each owner takes the manifest.
    assert found.origin_copies < 1.1


def test_members_that_die_do_not_turn_all_others_to_the_origin():
    """Five of 31 sidecars are killed as a version is named.

    Each of the others lost the source of a fifth of its chunks and took them
    from the origin itself, whose link carries less than one member's. It was
    busy with the same chunks for 15 s (`Waits for 45 chunks of version 2`,
    `origin: 12` on 18 to 25 of 31 members; 330 chunks sent of a version of
    96), and everybody waited for it. Callers saw no answers from models once
    the version was due.
    """
    found = spread_with_deaths(THREE_PLACES, dead=(3, 4, 10, 13, 22))
    check_spread(found)
