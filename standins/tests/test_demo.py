"""The whole path in separate processes."""

from standins import demo


def test_demo_brings_a_model_and_a_whole_answer(capsys):
    assert demo.run() == 0
    assert 'The whole answer came.' in capsys.readouterr().out
