"""Open requests and the closing state of a dispatcher."""

from types import SimpleNamespace

from dahliabend.proxy.base_dispatcher import BaseDispatcher


def base_dispatcher():
    metrics = SimpleNamespace(open_requests=0, count_response=lambda name, status: None)
    return BaseDispatcher(metrics, lambda *_, **__: None)


def test_a_dispatcher_is_closing_while_evacuated_and_from_shutdown_on():
    dispatcher = base_dispatcher()
    assert not dispatcher.closing()
    dispatcher.evacuated = True
    assert dispatcher.closing()
    dispatcher.evacuated = False
    assert not dispatcher.closing()
    dispatcher.shut_down_by(5)
    assert dispatcher.closing()
    assert dispatcher.shutdown_deadline == 5


def test_open_requests_are_those_opened_and_not_yet_closed():
    dispatcher = base_dispatcher()
    dispatcher.request_opened()
    dispatcher.request_opened()
    dispatcher.request_closed()
    assert dispatcher.metrics.open_requests == 1
