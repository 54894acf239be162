"""The parts of the adapter put together, as `peridottrack.mesh.Adapter` asks for them."""

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

DIALECT = HeaderNames(
    request_id="request-id",
    deadline_ms="request-deadline",
    target="target-instance",
    not_run="not-executed",
    load="instance-load",
    caller_service="caller-service",
    instance_id="instance-id",
    signature="response-signature",
)


class PlatformAdapter:
    """Speaks to the users' platform."""

    header_names = DIALECT

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
        """Return the list of nodes in the store."""
        return StoreDirectory(_client(session, settings, count))

    def documents(
        self, session: aiohttp.ClientSession, settings: MeshSettings, count: CountCall
    ) -> StoreDocuments:
        """Return the document in the store."""
        return StoreDocuments(_client(session, settings, count))

    def announce_app(self, beside: LocalInstanceController) -> web.Application:
        """Return the application to which the instance announces itself."""
        return announce_app(beside)

    def ready_app(self, ready: Callable[[], bool]) -> web.Application:
        """Return the application that answers whether the node is ready."""
        return ready_app(ready)


def _client(
    session: aiohttp.ClientSession, settings: MeshSettings, count: CountCall
) -> StoreClient:
    return StoreClient(session, settings.store_url, settings.store_timeout_s, count)


ADAPTER = PlatformAdapter()
