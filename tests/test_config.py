"""Invalid settings are reported as lines, never as stack traces."""

from __future__ import annotations

import pytest
from click.testing import CliRunner

from peridottrack.cmdline import cli
from peridottrack.config import parse_mesh_settings, parse_settings
from peridottrack.document import parse_document
from peridottrack.exceptions import InvalidDocument, InvalidInput, InvalidSettings

DEPTH = 5_000


@pytest.mark.parametrize("opening", ["[", '{"a":'])
@pytest.mark.parametrize(
    ("reader", "fault"),
    [
        (parse_settings, InvalidSettings),
        (parse_mesh_settings, InvalidSettings),
        (parse_document, InvalidDocument),
    ],
)
def test_deep_nesting_is_one_clear_line(reader, fault, opening):
    with pytest.raises(fault) as caught:
        reader(opening * DEPTH, "deep.json")
    assert caught.value.faults == ("deep.json: objects and lists are nested too deeply",)


def test_commands_raise_invalid_input(tmp_path):
    path = tmp_path / "deep.json"
    path.write_text('{"callers_address": ' + "[" * DEPTH)
    for arguments in (["check", str(path)], ["node", "--settings", str(path)]):
        result = CliRunner().invoke(cli, arguments)
        assert isinstance(result.exception, InvalidInput)
