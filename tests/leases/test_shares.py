"""Shared limits of routes: an equal share until others announce theirs, the whole limit if not shared."""

from types import SimpleNamespace

import pytest

from dahliabend.config.operator_file.schema import RouteSettings
from dahliabend.health_gossip.reports import QuotaAnnouncement
from dahliabend.routing_rules.limits import Limit
from dahliabend.server.cluster_limits import ClusterLimits
from dahliabend.server.operator_file_server import OperatorFileServer


def server_with_route(shared, gossip=None, fraction=1.0):
    limit = Limit(rate=100.0)
    limit.set_fraction(fraction)
    route = SimpleNamespace(name="r", limit=limit)
    routes = [RouteSettings(name="r", class_="c", pool="p", shared=shared)]
    file = SimpleNamespace(routes=routes, pools={"p": SimpleNamespace(balancers=4)})
    server = OperatorFileServer.__new__(OperatorFileServer)
    server.dispatcher = SimpleNamespace(routes=SimpleNamespace(file=file, compiled_routes=[route]))
    server.cluster_member = None if gossip is None else SimpleNamespace(gossip=gossip, share_limits=gossip)
    return server, limit


def test_route_that_is_no_longer_shared_after_a_reload_has_its_whole_limit():
    server, limit = server_with_route(False, fraction=0.25)
    server.divide_shared_limits()
    assert limit.fraction == 1.0


def test_route_has_an_equal_share_while_gossip_waits_for_a_restart():
    server, limit = server_with_route(True)
    server.divide_shared_limits()
    assert limit.fraction == 0.25


def test_with_gossip_the_instances_divide_the_limit():
    passed_callbacks = []
    server, _ = server_with_route(True, gossip=passed_callbacks.append)
    server.divide_shared_limits()
    (shared_routes,) = passed_callbacks
    assert [(route.name, balancers) for route, balancers in shared_routes()] == [("r", 4)]


def test_shares_start_equal_follow_announcements_and_end_with_the_route():
    limit, routes = Limit(rate=100.0), []
    routes.append((SimpleNamespace(name="r", limit=limit), 4))
    shares = ClusterLimits("me", lambda: routes, lambda *_, **__: None)
    shares.update_routes()
    assert limit.fraction == 0.25
    shares.tick({"me", "b"}, set(), False)
    assert limit.fraction <= 0.5
    assert shares.announcements()[0].limit == "r"
    shares.announcement_received(1, "b", QuotaAnnouncement("r", 0.5, 0.5))
    shares.announcement_received(1, "b", QuotaAnnouncement("gone", 0.5, 0.5))
    assert shares.status()[0]["others"] == {"b": pytest.approx(0.5)}
    routes.clear()
    shares.update_routes()
    assert shares.announcements() == []
