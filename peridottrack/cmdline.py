"""The command line; the work is done in the modules that it imports."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from importlib import import_module
from pathlib import Path
from typing import BinaryIO, NoReturn

import click

from peridottrack import __version__, log
from peridottrack.config import (
    MeshSettings,
    Settings,
    load_settings,
    parse_endpoint,
    parse_mesh_settings,
)
from peridottrack.debug import tune_allocator, tune_garbage_collector
from peridottrack.exceptions import (
    AcceptConflict,
    AcceptOutcomeUnknown,
    GuaranteeViolated,
    InvalidInput,
    NotOwner,
    PeridottrackError,
    StoreUnavailable,
)

EXIT_CODE_BY_ERROR: dict[type[PeridottrackError], int] = {
    InvalidInput: 3,
    NotOwner: 4,
    AcceptConflict: 5,
    AcceptOutcomeUnknown: 6,
    StoreUnavailable: 7,
    GuaranteeViolated: 8,
}
EXIT_INTERNAL = 9
EPILOG = (
    "Exit codes: 0 done, 2 wrong usage, 3 invalid settings or document, 4 not the section's owner,"
    " 5 changed by someone else, 6 unknown whether accepted, 7 store unavailable,"
    " 8 a guarantee was violated, 9 other errors."
)

LAZY_COMMANDS = ("document", "dump", "trace")
"""Commands of `peridottrack.operate`, imported only when used: a node does not need them."""


class LazyGroup(click.Group):
    """Command group that imports some of its commands only when they are used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted([*super().list_commands(ctx), *LAZY_COMMANDS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command, importing it if necessary."""
        if cmd_name not in LAZY_COMMANDS:
            return super().get_command(ctx, cmd_name)
        command = getattr(import_module("peridottrack.operate"), cmd_name)
        assert isinstance(command, click.Command)
        return command


@click.group(cls=LazyGroup, epilog=EPILOG, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="peridottrack")
def cli() -> None:
    """A load balancer for servers whose load changes within milliseconds.

    One node runs on the host of each upstream. Operators edit their sections of the document and
    accept them; the nodes apply the new version on their own.
    """


@cli.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Settings file, JSON with comments.",
)
def node(path: Path) -> None:
    """Run the node on the host of an upstream, until SIGTERM."""
    settings = load_settings(path)
    log.start_logging(settings.log_level, settings.debug)
    stopped_cleanly = asyncio.run(_run_node(settings))
    sys.exit(0 if stopped_cleanly else 1)


@cli.command()
@click.option(
    "--settings",
    "path",
    envvar="PERIDOTTRACK_CONFIG",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Settings file, JSON with comments (or PERIDOTTRACK_CONFIG).",
)
def mesh(path: Path) -> None:
    """Run a node with a gate on the users' platform, until SIGTERM; SIGHUP reloads settings."""
    settings = parse_mesh_settings(path.read_text(encoding="utf-8"), str(path))
    log.start_nonblocking_logging(settings.log_level, settings.debug, sys.stdout.fileno())
    stopped_cleanly = asyncio.run(_run_mesh(settings, path))
    sys.exit(0 if stopped_cleanly else 1)


@cli.command("events")
def print_events() -> None:
    """Print the reference of all log events of a node with a gate."""
    from peridottrack.events import reference

    click.echo(reference(), nl=False)


@cli.command()
@click.argument("request")
@click.argument("files", nargs=-1, type=click.File("rb"))
@click.option("--json", "as_json", is_flag=True, help="Print JSON lines.")
def explain(request: str, files: tuple[BinaryIO, ...], as_json: bool) -> None:
    """Show the timeline of a REQUEST from the logs of any number of nodes (or standard input)."""
    from peridottrack.explain import read_timeline, timeline_json, timeline_text

    timeline = read_timeline(request, list(files) or [sys.stdin.buffer])
    click.echo(timeline_json(timeline) if as_json else timeline_text(request, timeline))


@cli.command()
@click.argument("path", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def check(path: Path) -> None:
    """Check a settings file or a whole document, and list all errors.

    A file that contains callers_address or upstream_address is checked as settings.
    """
    text = path.read_text(encoding="utf-8")
    if "upstream_address" in text:
        parse_mesh_settings(text, str(path))
        click.echo(f"{path}: settings are valid")
        return
    if "callers_address" in text:
        load_settings(path)
        click.echo(f"{path}: settings are valid")
        return
    from peridottrack.document import parse_document

    document = parse_document(text, str(path))
    sections, routes = len(document.section_by_name), len(document.routes)
    click.echo(f"{path}: document is valid: {sections} sections, {routes} routes")


@cli.group()
def standin() -> None:
    """Run stand-ins for the external systems, for testing."""


@standin.command("platform")
@click.option("--listen", default="127.0.0.1:8400", show_default=True, help="IP:PORT.")
def standin_platform(listen: str) -> None:
    """Run the platform's table service and object store, in memory."""
    asyncio.run(_run_platform(listen))


@standin.command("upstream")
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="IP:PORT.")
@click.option("--announce", required=True, help="Announce address of the node on this host.")
@click.option("--service", required=True)
@click.option("--slots", default=18, show_default=True)
@click.option("--connections", default=240, show_default=True)
@click.option(
    "--service-ms", default=10.0, show_default=True, help="Mean service time of a request."
)
def standin_upstream(
    listen: str, announce: str, service: str, slots: int, connections: int, service_ms: float
) -> None:
    """Run an upstream that announces itself; SIGTERM drains it."""
    asyncio.run(_run_upstream(listen, announce, service, slots, connections, service_ms))


@cli.command()
@click.option(
    "--deployment",
    type=click.Choice(["buzulip", "karoo"]),
    default="buzulip",
    show_default=True,
)
@click.option(
    "--seconds", default=12.0, show_default=True, help="Duration for which calls are sent."
)
def demo(deployment: str, seconds: float) -> None:
    """Run a whole deployment in this process, inject faults, and check the guarantees."""
    from peridottrack.demo import run_demo

    log.start_logging("ERROR")
    violations = asyncio.run(run_demo(deployment, seconds, click.echo))
    if violations:
        raise GuaranteeViolated("; ".join(violations))


def main() -> NoReturn:
    """Run the program; an error is printed without a traceback and sets the exit code."""
    try:
        cli.main(standalone_mode=False)
    except click.ClickException as error:
        error.show()
        sys.exit(error.exit_code)
    except click.Abort:
        sys.exit(130)
    except PeridottrackError as error:
        click.echo(f"error [{error.code}]: {error}", err=True)
        if isinstance(error, AcceptConflict):
            click.echo(error.diff, err=True)
        sys.exit(_exit_code(error))
    except (OSError, ValueError) as error:
        click.echo(f"error: {error}", err=True)
        sys.exit(EXIT_INTERNAL)
    sys.exit(0)


def _exit_code(error: PeridottrackError) -> int:
    for kind, code in EXIT_CODE_BY_ERROR.items():
        if isinstance(error, kind):
            return code
    return EXIT_INTERNAL


async def _run_node(settings: Settings) -> bool:
    from peridottrack.node import Node

    running = Node(settings)
    stop = _stop_event()
    await running.start()
    tune_garbage_collector()
    await stop.wait()
    return await running.leave()


def _skip_certificates() -> None:
    """Keep `aiohttp` from loading the certificates of public authorities when it is imported.

    Loading them takes time at each start, and a plain HTTP address of the store needs none.
    """
    os.environ.update(SSL_CERT_FILE=os.devnull, SSL_CERT_DIR=os.devnull)


async def _run_mesh(settings: MeshSettings, path: Path) -> bool:
    if settings.store_url.startswith("http:"):
        _skip_certificates()
    from peridottrack.controllers.reload import ReloadController
    from peridottrack.mesh import MeshNode
    from peridottrack.platform import ADAPTER

    tune_allocator()
    running = MeshNode(settings, ADAPTER)
    stop = _stop_event()
    controller = ReloadController(path, settings, running.apply_settings)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, controller.reload_if_changed)
    await running.start()
    tune_garbage_collector()
    reload_task = asyncio.create_task(controller.run())
    await stop.wait()
    reload_task.cancel()
    return await running.leave()


async def _run_platform(listen: str) -> None:
    from peridottrack.standin.platform import serve_platform

    endpoint = parse_endpoint(listen)
    _, runner, port = await serve_platform(endpoint.host, endpoint.port)
    click.echo(f"platform stand-in on http://{endpoint.host}:{port}")
    await _stop_event().wait()
    await runner.cleanup()


async def _run_upstream(
    listen: str, announce: str, service: str, slots: int, connections: int, service_ms: float
) -> None:
    from peridottrack.standin.upstream import Behaviour, UpstreamStandin
    from peridottrack.types import InstanceId, ServiceName

    endpoint = parse_endpoint(listen)
    upstream = UpstreamStandin(
        InstanceId(f"{service}-{os.getpid()}"),
        ServiceName(service),
        slots,
        connections,
        Behaviour(service_s=service_ms / 1000),
    )
    await upstream.start(endpoint.host, endpoint.port, parse_endpoint(announce))
    click.echo(f"upstream {upstream.instance_id} on http://{upstream.endpoint}")
    await _stop_event().wait()
    await upstream.drain()
    await upstream.stop()


def _stop_event() -> asyncio.Event:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop
