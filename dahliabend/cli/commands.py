"""All commands, each of a module of its own."""

import click

from dahliabend.cli.emulate import emulate


@click.group()
def group() -> None:
    """A load balancer for services that call services. Without arguments it serves, as PROXY_CONFIG says."""


group.add_command(emulate)
