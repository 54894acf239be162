"""Reloads the settings of a running node when their file changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from peridottrack import log
from peridottrack.config import MeshSettings, parse_mesh_settings
from peridottrack.exceptions import InvalidInput

CHECK_INTERVAL_S = 2.0
"""Interval at which the file is checked, because it may change without a signal."""
CHANGEABLE = frozenset(
    (
        "shutdown_s",
        "probes_per_s",
        "second_ratio",
        "second_slack",
        "second_window_s",
        "hedge_share",
    )
)
"""Settings that a running node can apply.

The others, such as its addresses and its identity, take effect only at a start.
"""


class ReloadController:
    """Applies changes of the settings file to a running node.

    Parameters
    ----------
    apply
        Called with settings that differ from those in force only in `CHANGEABLE` ones.

    Attributes
    ----------
    settings
        Those in force, unlike those in the file, which may include changes that need a restart.
    """

    def __init__(
        self, path: Path, settings: MeshSettings, apply: Callable[[MeshSettings], None]
    ) -> None:
        self._path = path
        self._apply = apply
        self._last_loaded = settings
        self._text = ""
        self.settings = settings

    def reload_if_changed(self) -> None:
        """Read the file and apply what changed.

        An invalid file changes nothing; it is parsed again only once its text has changed.
        """
        try:
            text = self._path.read_text(encoding="utf-8")
            if text == self._text:
                return
            self._text = text
            loaded = parse_mesh_settings(text, str(self._path))
        except (InvalidInput, OSError, ValueError) as error:
            log.warning("changed settings are faulty, the old ones stay", error=str(error))
            return
        changed = _differing_names(self._last_loaded, loaded)
        self._last_loaded = loaded
        if not changed:
            return
        applicable = {name: getattr(loaded, name) for name in changed & CHANGEABLE}
        log.event("settings changed", now=sorted(applicable), at_start=sorted(changed - CHANGEABLE))
        if applicable:
            self.settings = self.settings.model_copy(update=applicable)
            self._apply(self.settings)

    async def run(self) -> None:
        """Check the file periodically, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.reload_if_changed()


def _differing_names(one: MeshSettings, other: MeshSettings) -> set[str]:
    names = type(one).model_fields
    return {name for name in names if getattr(one, name) != getattr(other, name)}
