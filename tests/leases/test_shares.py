"""Shared limits of routes: an equal share before others are heard, the whole limit once not shared."""

from types import SimpleNamespace

import pytest

from dahliabend.config.operator_file.schema import RouteSettings
from dahliabend.health_gossip.reports import QuotaAnnouncement
from dahliabend.routing_rules.limits import Limit
from dahliabend.server.cluster_limits import ClusterLimits
from dahliabend.server.operator_file_server import OperatorFileServer


def service(shared, gossip=None, part=1.0):
    limit = Limit(rate=100.0)
    limit.set_fraction(part)
    choice = SimpleNamespace(name="r", limit=limit)
    routes = [RouteSettings(name="r", class_="c", pool="p", shared=shared)]
    file = SimpleNamespace(routes=routes, pools={"p": SimpleNamespace(balancers=4)})
    made = OperatorFileServer.__new__(OperatorFileServer)
    made.dispatcher = SimpleNamespace(routes=SimpleNamespace(file=file, compiled_routes=[choice]))
    made.cluster = None if gossip is None else SimpleNamespace(gossip=gossip, share_limits=gossip)
    return made, limit


def test_route_that_a_reload_no_longer_shares_has_its_whole_limit():
    made, limit = service(False, part=0.25)
    made.divide_shared_limits()
    assert limit.fraction == 1.0


def test_route_has_an_equal_share_while_gossip_waits_for_a_restart():
    made, limit = service(True)
    made.divide_shared_limits()
    assert limit.fraction == 0.25


def test_with_gossip_the_instances_divide_the_limit():
    asked = []
    made, _ = service(True, gossip=asked.append)
    made.divide_shared_limits()
    (compiled_routes,) = asked
    assert [(choice.name, balancers) for choice, balancers in compiled_routes()] == [("r", 4)]


def test_shares_start_equal_follow_announcements_and_end_with_the_route():
    limit, routes = Limit(rate=100.0), []
    routes.append((SimpleNamespace(name="r", limit=limit), 4))
    shares = ClusterLimits("me", lambda: routes, lambda *_, **__: None)
    shares.update_routes()
    assert limit.fraction == 0.25
    shares.tick({"me", "b"}, set(), False)
    assert limit.fraction <= 0.5
    assert shares.reports()[0].limit == "r"
    shares.report_received(1, "b", QuotaAnnouncement("r", 0.5, 0.5))
    shares.report_received(1, "b", QuotaAnnouncement("gone", 0.5, 0.5))
    assert shares.status()[0]["others"] == {"b": pytest.approx(0.5)}
    routes.clear()
    shares.update_routes()
    assert shares.reports() == []
