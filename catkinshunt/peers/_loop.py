"""The asyncio event loop of a process, in its own thread."""

import asyncio
import concurrent.futures
import threading

from catkinshunt import base
from catkinshunt import checks

WORKER_THREADS = 8


class LoopThread(base.BaseService):
    """Runs coroutines for threads, and blocking functions for coroutines.

    grpclib requires an asyncio loop; the rest of the process uses threads
    and `concurrent.futures`. `submit` returns the result of a coroutine to a
    thread as a `concurrent.futures.Future`; `run_blocking` runs a blocking
    function in a worker thread. A handler that blocks the loop delays the
    calls of all peers.

    Args:
        threads: number of worker threads for blocking functions.

    Examples:
        >>> async def double(value):
        ...     return await run_blocking(lambda: 2 * value)
        >>> with LoopThread(threads=1) as loop:
        ...     loop.submit(double(3)).result(timeout=5)
        6
    """

    def __init__(self, threads=WORKER_THREADS):
        self.threads = threads
        self._loop = None
        self._thread = None

    def start(self):
        """Start the loop and its worker threads."""
        checks.check_positive(self.threads, 'threads')
        self._loop = asyncio.new_event_loop()
        workers = concurrent.futures.ThreadPoolExecutor(
            self.threads, thread_name_prefix='peers-worker'
        )
        self._loop.set_default_executor(workers)
        self._thread = threading.Thread(
            target=self._run, name='peers-loop', daemon=True
        )
        self._thread.start()
        return self

    def stop(self):
        """Cancel running tasks and stop the threads."""
        if self._loop is None:
            return
        loop, self._loop = self._loop, None
        asyncio.run_coroutine_threadsafe(_shut_down(), loop).result()
        loop.call_soon_threadsafe(loop.stop)
        self._thread.join()
        loop.close()

    def submit(self, coroutine):
        """Run `coroutine` in the loop; return a future of its result."""
        if self._loop is None:
            coroutine.close()
            raise RuntimeError('event loop is not running')
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def _run(self):
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()


async def run_blocking(function, *args):
    """Run `function` in a worker thread and return its result.

    For handlers: `await run_blocking(replica.apply_update, update, now)`.
    """
    loop = asyncio.get_running_loop()
    return await loop.run_in_executor(None, function, *args)


async def _shut_down():
    loop = asyncio.get_running_loop()
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await loop.shutdown_default_executor()
