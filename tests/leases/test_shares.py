"""Shared limits on their way to routes: an equal part before anybody is heard, whole once not shared."""

from types import SimpleNamespace

import pytest

from dahliabend.config.operator_file.types import Route
from dahliabend.health_gossip.report_table import QuotaAnnouncement
from dahliabend.routing_rules.limits import Limit
from dahliabend.server.service import Service
from dahliabend.server.shares import Shares


def service(shared, gossip=None, part=1.0):
    limit = Limit(rate=100.0)
    limit.take(part)
    choice = SimpleNamespace(name="r", limit=limit)
    routes = [Route(name="r", class_="c", pool="p", shared=shared)]
    file = SimpleNamespace(routes=routes, pools={"p": SimpleNamespace(balancers=4)})
    made = Service.__new__(Service)
    made.desk = SimpleNamespace(routes=SimpleNamespace(file=file, choices=[choice]))
    made.fleet = None if gossip is None else SimpleNamespace(gossip=gossip, share=gossip)
    return made, limit


def test_a_route_that_a_reload_shares_no_more_has_its_whole_limit():
    made, limit = service(False, part=0.25)
    made.divide_limits()
    assert limit.part == 1.0


def test_where_signals_wait_for_a_restart_it_is_an_equal_part():
    made, limit = service(True)
    made.divide_limits()
    assert limit.part == 0.25


def test_with_signals_the_fleet_divides_it():
    asked = []
    made, _ = service(True, gossip=asked.append)
    made.divide_limits()
    (choices,) = asked
    assert [(choice.name, balancers) for choice, balancers in choices()] == [("r", 4)]


def test_parts_begin_equal_follow_what_others_tell_and_end_with_the_route():
    limit, routes = Limit(rate=100.0), []
    routes.append((SimpleNamespace(name="r", limit=limit), 4))
    shares = Shares("me", lambda: routes, lambda *_, **__: None)
    shares.hold()
    assert limit.part == 0.25
    shares.beat({"me", "b"}, set(), False)
    assert limit.part <= 0.5 and shares.told()[0].limit == "r"
    shares.heard(1, "b", QuotaAnnouncement("r", 0.5, 0.5))
    shares.heard(1, "b", QuotaAnnouncement("gone", 0.5, 0.5))
    assert shares.shown()[0]["others"] == {"b": pytest.approx(0.5)}
    routes.clear()
    shares.hold()
    assert shares.told() == []
