import threading

from catkinshunt import httpio

#: Seconds that the loop is given to run what it was woken for.
LOOP_S = 0.2


def answer(environ, start_response):
    start_response('200 OK', [])
    return [b'']


def test_a_stop_does_not_meet_a_loop_that_was_woken_by_another(monkeypatch):
    """A task that ends as the server stops wakes its loop first."""
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
