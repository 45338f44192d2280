import threading

from catkinshunt import httpio

#: Seconds for the loop to run what it was woken for.
LOOP_S = 0.2


def answer(environ, start_response):
    start_response('200 OK', [])
    return [b'']


def test_stop_while_a_task_wakes_the_loop(monkeypatch):
    """A task that ends while the server stops wakes the loop first.

    The loop must not close the trigger before `stop` has written to it.
    """
    server = httpio.HttpServer(answer).start()
    trigger = server._server.trigger
    pull = trigger._physical_pull

    def pull_after_another():
        pull()
        threading.Event().wait(LOOP_S)
        pull()

    monkeypatch.setattr(trigger, '_physical_pull', pull_after_another)
    server.stop()
    assert not server._thread.is_alive()
