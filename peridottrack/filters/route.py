"""Finds a request's route in the document."""

from __future__ import annotations

import hashlib
from collections.abc import Callable

from aiohttp import web

from peridottrack.call import Call, Proceed, Response
from peridottrack.document import Document, RouteConfig
from peridottrack.errors import ErrorKind
from peridottrack.exceptions import RequestError

MAX_HEADER_BYTES = 32 << 10
CREDENTIAL_DIGEST_BYTES = 12


class RouteFilter:
    """Finds the route and identifies the caller."""

    def __init__(self, document: Callable[[], Document | None]) -> None:
        self._document = document

    async def __call__(self, call: Call, proceed: Proceed) -> Response:
        """Set the fields of the call that depend on the request line and headers only."""
        request = call.request
        call.route = route = self._find(request)
        call.idempotent = route.is_idempotent(request.method)
        call.credential = _credential_hash(request)
        call.caller = call.credential or request.remote or ""
        return await proceed(call)

    def _find(self, request: web.BaseRequest) -> RouteConfig:
        document = self._document()
        if document is None:
            raise RequestError(ErrorKind.NOT_READY)
        if sum(len(name) + len(value) for name, value in request.raw_headers) > MAX_HEADER_BYTES:
            raise RequestError(ErrorKind.HEADERS_TOO_LARGE)
        path = request.path
        if not request.raw_path.startswith("/") or ".." in path.split("/"):
            raise RequestError(ErrorKind.BAD_REQUEST, "The target must be an absolute path.")
        route, path_matched = document.find_route(request.method, path)
        if route is None:
            kind = ErrorKind.METHOD_NOT_ALLOWED if path_matched else ErrorKind.NO_ROUTE
            raise RequestError(kind)
        return route


def _credential_hash(request: web.BaseRequest) -> str:
    credential = request.headers.get("Authorization")
    if not credential:
        return ""
    return hashlib.blake2b(credential.encode(), digest_size=CREDENTIAL_DIGEST_BYTES).hexdigest()
