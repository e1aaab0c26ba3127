"""`dahliabend signals` and `turns`: health gossip and leases as one running balancer sees them."""

import click
from rich.table import Table

from dahliabend.cli.admin_client import balancer_argument, fetch, format_age
from dahliabend.cli.output import json_option, print_json, print_table
from dahliabend.leases.fencing import TOKEN_SUFFIX_BITS

TABLE_WIDTH = 140


@click.command()
@balancer_argument
@json_option
def signals(where: str, *, as_json: bool) -> None:
    """Show the health reports that a running balancer sends and receives, and the upstreams it suspects."""
    gossip = fetch(where, "/api/signals")
    if as_json:
        print_json(gossip)
        return
    table = Table("from", "told", "passed on", "upstream", "hops", "bad")
    own_reports = {"name": f"{gossip['name']} (this one)", "age_ms": 0, "hops": 0, "rows": gossip["own"]}
    for origin in [own_reports, *gossip["origins"]]:
        sender = (origin["name"], format_age(origin["age_ms"]), str(origin["hops"]))
        for row in origin["rows"]:
            upstream = f"{row['pool']} {row['upstream']}"
            table.add_row(*sender, upstream, str(row["tried"]), str(row["bad"]))
        if not origin["rows"]:
            table.add_row(*sender, "nothing", "", "")
    print_table(table, TABLE_WIDTH)
    for suspicion in gossip["believed"]:
        age = format_age(suspicion["age_ms"])
        click.echo(f"{age} ago: {suspicion['pool']} {suspicion['upstream']}, said by {suspicion['origins']}")
    counts = f"{gossip['unread']} datagrams unread, {gossip['refused']} reports refused"
    click.echo(f"{gossip['told']} beliefs told to the decisions; {counts}")


@click.command("turns")
@balancer_argument
@json_option
def leases(where: str, *, as_json: bool) -> None:
    """Show the leases of shared health checks: holder, fencing token and last result."""
    leases_status = fetch(where, "/api/turns")
    if as_json:
        print_json(leases_status)
        return
    table = Table("duty", "done by", "number", "last", "result", "this one's place")
    for row in leases_status["duties"]:
        age = "" if row["age_ms"] is None else f"{format_age(row['age_ms'])} ago"
        place = "none" if row["place"] < 0 else str(row["place"])
        claim_count = str(row["fence"] >> TOKEN_SUFFIX_BITS)
        table.add_row(row["duty"], row["owner"], claim_count, age, row["result"], place)
    print_table(table, TABLE_WIDTH)
    state = "settled" if leases_status["settled"] else "not settled"
    click.echo(
        f"period {leases_status['period_ms'] / 1000:g} s; {state}; "
        f"{leases_status['probes']} probes by this one; {leases_status['refused']} refused"
    )
