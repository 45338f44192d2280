from catkinshunt import logs


class Log:
    def __init__(self):
        self.lines = []

    def warning(self, text, exc):
        self.lines.append(text.format(exc))

    def info(self, text, **fields):
        self.lines.append((text, fields))


def test_loss_and_recovery_are_logged_once():
    """Many calls fail in an outage; afterwards all succeed."""
    log = Log()
    outage = logs.OutageLogger(log, 'lost: {}', 'back')
    outage.end()
    outage.begin('no answer')
    outage.begin('refused')
    outage.end(revision=7)
    outage.end(revision=8)
    assert log.lines == ['lost: no answer', ('back', {'revision': 7})]
