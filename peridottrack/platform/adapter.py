"""Implementation of `peridottrack.mesh.Adapter` for the users' platform."""

from __future__ import annotations

from collections.abc import Callable

import aiohttp
from aiohttp import web

from peridottrack.config import MeshSettings
from peridottrack.controllers.localinstance import LocalInstanceController
from peridottrack.documentsource import DocumentReader
from peridottrack.headernames import HeaderNames
from peridottrack.mesh import CountCall
from peridottrack.platform.announce import announce_app, ready_app
from peridottrack.platform.document import read_document
from peridottrack.platform.store import StoreClient, StoreDirectory, StoreDocuments, store_socket

HEADER_NAMES = HeaderNames(
    request_id="request-id",
    deadline_ms="request-deadline",
    target="target-instance",
    not_run="not-executed",
    load="instance-load",
    caller_service="caller-service",
    instance_id="instance-id",
    signature="response-signature",
    rate_limit="server-limit",
    leaving="server-leaving",
    warm_in_ms="warmup-remaining",
    account="tenant",
)


class PlatformAdapter:
    """Binding to the users' platform."""

    header_names = HEADER_NAMES

    def session(self) -> aiohttp.ClientSession:
        """Return a session for calls to the store."""
        connector = aiohttp.TCPConnector(limit=0, socket_factory=store_socket)
        return aiohttp.ClientSession(connector=connector, auto_decompress=False)

    def document_reader(self) -> DocumentReader:
        """Return the decoder of documents."""
        return read_document

    def directory(
        self, session: aiohttp.ClientSession, settings: MeshSettings, count: CountCall
    ) -> StoreDirectory:
        """Return the directory of nodes in the store."""
        return StoreDirectory(_client(session, settings, count))

    def documents(
        self, session: aiohttp.ClientSession, settings: MeshSettings, count: CountCall
    ) -> StoreDocuments:
        """Return the source of the document in the store."""
        return StoreDocuments(_client(session, settings, count))

    def announce_app(self, local_instance: LocalInstanceController) -> web.Application:
        """Return the application to which the instance announces itself."""
        return announce_app(local_instance)

    def ready_app(self, ready: Callable[[], bool]) -> web.Application:
        """Return the application that responds to the platform's readiness checks."""
        return ready_app(ready)


def _client(
    session: aiohttp.ClientSession, settings: MeshSettings, count: CountCall
) -> StoreClient:
    return StoreClient(session, settings.store_url, settings.store_timeout_s, count)


ADAPTER = PlatformAdapter()
