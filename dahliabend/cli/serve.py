"""`dahliabend serve`: runs a balancer; the server's libraries are imported only when it is called."""

import click

EXIT_FAILED = 1
EXIT_INVALID_CONFIGURATION = 2


@click.command()
@click.argument("file", required=False)
def serve(file: str | None) -> None:
    """Serve with an operator's FILE, by default with the file at PROXY_CONFIG."""
    if file is None:
        from dahliabend.server.startup import run

        raise click.exceptions.Exit(run())
    _serve_operator_file(file)


def _serve_operator_file(path: str) -> None:
    import signal

    import uvloop

    from dahliabend.server.lifecycle import BLOCKED_SIGNALS
    from dahliabend.server.operator_file_loading import InvalidOperatorFileError
    from dahliabend.server.operator_file_server import serve_operator_file
    from dahliabend.server.structured_log import StructuredLog

    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)
    log = StructuredLog("dahliabend")
    try:
        uvloop.run(serve_operator_file(path, log))
    except InvalidOperatorFileError as error:
        for fault in error.faults:
            click.echo(str(fault), err=True)
        raise click.exceptions.Exit(EXIT_INVALID_CONFIGURATION) from None
    except OSError as error:
        log("server.start_failed", reason=str(error))
        raise click.exceptions.Exit(EXIT_FAILED) from None
    finally:
        log.close()
