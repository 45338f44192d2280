"""New weights of one service's model are named beside another service."""

import asyncio
import os
import pathlib
import sys

from review.stage2 import clients
from review.stage2 import engine
from review.stage2 import site

FOLDER = pathlib.Path(__file__).parent
ENGINES, SLOTS, CLIENTS = 2, 16, 3
#: The service, route and model that are added later.
SERVICE, MODEL = 'lumo93a', 'rivo310000'
PREFIX = '/sato551/'
#: Seconds of traffic on both routes, and until it counts.
TRAFFIC_S, SETTLED_S = 20.0, 5.0


async def send_often(place, host, path, model, until, answers):
    """Send requests one after the other."""
    client = clients.Client(place, host)
    while place.now() < until:
        answers.append(await client.chat(path=path, model=model))
        await asyncio.sleep(0.2)
    client.close()


def extend(configuration):
    """Add the second service with its route, as the operator does later."""
    route = {**configuration['routes'][0], 'name': 'r-2xp4zhp'}
    route |= {'path_prefix': PREFIX, 'service': SERVICE}
    service = {**configuration['services'][0], 'name': SERVICE}
    service['engine'] = engine.profile(SLOTS, [MODEL])
    return {
        **configuration,
        'version': configuration['version'] + 2,
        'routes': [*configuration['routes'], route],
        'services': [*configuration['services'], service],
    }


async def add_engines(place, service, model):
    """Start runners of a service, each with its sidecar."""
    for number in range(ENGINES):
        host = place.new_host()
        each = engine.Engine(
            place, f'i-{service}-{number}', host, site.ZONES[0], SLOTS,
            service=service, models=(model,),
        )  # fmt: skip
        await each.start()
        place.add(f'side-{service}-{number}', 'sidecar', host, service)


def count(answers, since):
    """Return how many requests were served and sent since a time."""
    counted = [a for a in answers if a.sent_at >= since]
    return sum(a.status == 200 and a.is_whole for a in counted), len(counted)


async def play(place):
    """Return whether CONFIG was broken."""
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    origin = engine.Origin()
    await place.serve(origin.handle, place.base, site.ORIGIN)
    address = f'{place.base}:{site.ORIGIN}'
    profile = engine.profile(SLOTS)
    configuration = clients.configuration(7, profile, address)
    place.store.put('op/config', configuration)
    await add_engines(place, engine.SERVICE, engine.MODEL)
    front = place.new_host()
    place.add('edge-0', 'entry', front)
    await place.until_ready(front)
    await add_engines(place, SERVICE, MODEL)
    await asyncio.sleep(3.0)
    place.store.put('op/config', extend(configuration))
    place.note('a route and its service are added')
    await asyncio.sleep(3.0)
    if is_troubled:
        origin.version = 2
        named = {'model': engine.MODEL, 'version': 2}
        place.store.put(f'op/version/{engine.MODEL}', named)
        place.note(f'version 2 of {engine.MODEL} is acknowledged')
    began = place.now()
    first, later = [], []
    until = began + SETTLED_S + TRAFFIC_S
    senders = []
    for _ in range(CLIENTS):
        for path, model, answers in (
            (clients.CHAT, engine.MODEL, first),
            (f'{PREFIX}2f', MODEL, later),
        ):
            senders.append(
                send_often(place, front, path, model, until, answers)
            )
    await asyncio.gather(*senders)
    served, sent = count(first, began + SETTLED_S)
    served_later, sent_later = count(later, began + SETTLED_S)
    place.note(f'first route: {served} of {sent} are served')
    place.note(f'later route: {served_later} of {sent_later} are served')
    if not served or sent_later < 20:
        raise OSError('no steady state')
    return served_later / sent_later < served / sent / 4


if __name__ == '__main__':
    sys.exit(asyncio.run(site.run(play, FOLDER / 'record.txt')))
