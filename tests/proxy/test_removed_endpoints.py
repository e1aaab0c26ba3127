"""Removed endpoints over sockets, with `drain-binds-alone`: an endpoint that is missing from the list keeps
receiving requests, a draining endpoint does not."""

import copy
from itertools import count

from helpers import CONF, Client, Upstream, server_entry, start_balancer, wait_until

trace_numbers = count()
SENDING_TO_REMOVED_ENDPOINTS = copy.deepcopy(CONF)
SENDING_TO_REMOVED_ENDPOINTS["contract"] |= {"drain-binds-alone": True, "cold": 60_000.0}


def test_an_endpoint_missing_from_the_list_keeps_serving_and_a_draining_one_does_not():
    first, second = Upstream(), Upstream()
    with start_balancer(first, second, settings=SENDING_TO_REMOVED_ENDPOINTS) as (address, _, agent):
        caller = Client(address)
        for n in range(8):
            assert caller.request(trace_id=f"a{n}")[0] == 200
        first_entry, second_entry = server_entry("s-0", first), server_entry("s-1", second)
        agent.send_update(2, True, first_entry)  # a complete list without s-1
        agent.send_update(3, False, {**first_entry, "state": "draining"})

        def only_second_serves():
            first_count_before = first.received_requests.qsize()
            statuses = [caller.request(trace_id=f"b{next(trace_numbers)}")[0] for n in range(8)]
            assert statuses == [200] * 8
            return first.received_requests.qsize() == first_count_before

        wait_until(only_second_serves)  # once the drain is applied, all requests go to the unlisted endpoint
        agent.send_update(4, False, {**second_entry, "state": "draining"})
        wait_until(
            lambda: Client(address).request(trace_id=f"c{next(trace_numbers)}", timeout_ms="500")[0] == 503
        )
        agent.send_update(5, False, first_entry)
        wait_until(lambda: Client(address).request(trace_id=f"d{next(trace_numbers)}")[0] == 200)
