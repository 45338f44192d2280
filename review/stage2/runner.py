"""A model runner as a process of its own, so that it can crash."""

import asyncio
import sys
import time

from review.stage2 import engine
from review.stage2 import http


class _Place:
    """What a runner needs of a `site.Site`."""

    def now(self):
        return time.monotonic()

    def note(self, text):
        print(f'{self.now():.3f} {text}', flush=True)

    async def serve(self, handler, host, port):
        return await http.Server(handler).start(host, port)


async def main(name, host, slots):
    """Serve one engine whose streams end with their connection."""
    each = engine.Engine(_Place(), name, host, '', int(slots), is_framed=False)
    each.beat = lambda: None
    await each.start()
    # It never outlasts a case.
    await asyncio.sleep(110)


if __name__ == '__main__':
    asyncio.run(main(*sys.argv[1:]))
