"""Removed endpoints over sockets, with `drain-binds-alone`: an endpoint that is missing from the list keeps
receiving requests, a draining endpoint does not."""

import copy
from itertools import count

from helpers import CONF, Caller, Upstream, entry, program, until

trace_numbers = count()
SENDING_TO_REMOVED_ENDPOINTS = copy.deepcopy(CONF)
SENDING_TO_REMOVED_ENDPOINTS["contract"] |= {"drain-binds-alone": True, "cold": 60_000.0}


def test_an_endpoint_missing_from_the_list_keeps_serving_and_a_draining_one_does_not():
    first, second = Upstream(), Upstream()
    with program(first, second, conf=SENDING_TO_REMOVED_ENDPOINTS) as (address, _, agent):
        caller = Caller(address)
        for n in range(8):
            assert caller.ask(trace=f"a{n}")[0] == 200
        first_entry, second_entry = entry("s-0", first), entry("s-1", second)
        agent.tell(2, True, first_entry)  # a complete list without s-1
        agent.tell(3, False, {**first_entry, "state": "draining"})

        def only_second_serves():
            first_count_before = first.came.qsize()
            statuses = [caller.ask(trace=f"b{next(trace_numbers)}")[0] for n in range(8)]
            assert statuses == [200] * 8
            return first.came.qsize() == first_count_before

        until(only_second_serves)  # once the drain is applied, all requests go to the unlisted endpoint
        agent.tell(4, False, {**second_entry, "state": "draining"})
        until(lambda: Caller(address).ask(trace=f"c{next(trace_numbers)}", expires="500")[0] == 503)
        agent.tell(5, False, first_entry)
        until(lambda: Caller(address).ask(trace=f"d{next(trace_numbers)}")[0] == 200)
