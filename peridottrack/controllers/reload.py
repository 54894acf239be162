"""Settings that change while a node runs: looked at on a signal and now and then."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from peridottrack import log
from peridottrack.config import MeshSettings, parse_mesh_settings
from peridottrack.exceptions import InvalidInput

LOOK_S = 2.0
"""How often the file is looked at: it may change without a signal."""
CHANGEABLE = frozenset(
    ("shutdown_s", "probes_per_s", "second_ratio", "second_slack", "second_window_s")
)
"""Settings that a running node takes over; the others name what it listens on or who it is."""


class ReloadController:
    """Takes over a changed settings file.

    Parameters
    ----------
    apply
        Called with settings in which only `CHANGEABLE` ones differ from those in force.
    """

    def __init__(
        self, path: Path, settings: MeshSettings, apply: Callable[[MeshSettings], None]
    ) -> None:
        self._path = path
        self._apply = apply
        self._seen = settings
        self._text = ""
        self.settings = settings

    def reload_if_changed(self) -> None:
        """Read the file and take over what changed; a faulty file changes nothing."""
        try:
            text = self._path.read_text(encoding="utf-8")
            if text == self._text:
                return
            self._text = text
            found = parse_mesh_settings(text, str(self._path))
        except (InvalidInput, OSError, ValueError) as error:
            log.warning("changed settings are faulty, the old ones stay", error=str(error))
            return
        changed = _differing(self._seen, found)
        self._seen = found
        if not changed:
            return
        now = {name: getattr(found, name) for name in changed & CHANGEABLE}
        log.event("settings changed", now=sorted(now), at_start=sorted(changed - CHANGEABLE))
        if now:
            self.settings = self.settings.model_copy(update=now)
            self._apply(self.settings)

    async def run(self) -> None:
        """Look now and then, until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            self.reload_if_changed()


def _differing(one: MeshSettings, other: MeshSettings) -> set[str]:
    names = type(one).model_fields
    return {name for name in names if getattr(one, name) != getattr(other, name)}
