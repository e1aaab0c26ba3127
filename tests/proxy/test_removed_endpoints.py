"""Where only draining binds, over sockets: what the list has lost is still sent to, what drains is not."""

import copy
from itertools import count

from helpers import CONF, Caller, Upstream, entry, program, until

names = count()
ALONE = copy.deepcopy(CONF)
ALONE["contract"] |= {"drain-binds-alone": True, "cold": 60_000.0}


def test_one_that_a_list_leaves_out_goes_on_serving_and_one_that_drains_does_not():
    first, second = Upstream(), Upstream()
    with program(first, second, conf=ALONE) as (address, _, agent):
        caller = Caller(address)
        for n in range(8):
            assert caller.ask(trace=f"a{n}")[0] == 200
        one, two = entry("s-0", first), entry("s-1", second)
        agent.tell(2, True, one)  # s-1 is left out
        agent.tell(3, False, {**one, "state": "draining"})

        def by_second():
            before = first.came.qsize()
            statuses = [caller.ask(trace=f"b{next(names)}")[0] for n in range(8)]
            assert statuses == [200] * 8
            return first.came.qsize() == before

        until(by_second)  # from the drain's news on, all go to the one that no list names
        agent.tell(4, False, {**two, "state": "draining"})
        until(lambda: Caller(address).ask(trace=f"c{next(names)}", expires="500")[0] == 503)
        agent.tell(5, False, one)
        until(lambda: Caller(address).ask(trace=f"d{next(names)}")[0] == 200)
