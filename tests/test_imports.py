"""What a node with a gate imports at its start, which all nodes of a fleet pay for at once."""

from __future__ import annotations

import subprocess
import sys

IMPORT_PROGRAM = (
    "import gc; gc.disable()\n"
    "import peridottrack.cmdline as cmdline; cmdline._skip_certificates()\n"
    "import peridottrack.controllers.reload, peridottrack.mesh, peridottrack.platform, sys\n"
)
# Parts of the other program, of commands and of tests.
NOT_IMPORTED = (
    "peridottrack.balancer",
    "peridottrack.claims",
    "peridottrack.demo",
    "peridottrack.explain",
    "peridottrack.filters",
    "peridottrack.journal",
    "peridottrack.node",
    "peridottrack.operate",
    "peridottrack.restoredtable",
    "peridottrack.revisions",
    "peridottrack.standin",
    "hypothesis",
    "multiprocessing",
    "sqlite3",
    "unittest",
    "xml",
)


def run(program: str) -> str:
    ended = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True)
    assert ended.returncode == 0, ended.stderr
    return ended.stdout


# Guards against a start that takes longer since the other program's modules are imported.
def test_only_the_modules_of_the_program_are_imported():
    imported = run(IMPORT_PROGRAM + "print(*sys.modules)").split()
    unexpected = [
        name
        for name in imported
        if any(name == other or name.startswith(f"{other}.") for other in NOT_IMPORTED)
    ]
    assert not unexpected
    own = [name for name in imported if name.startswith("peridottrack.")]
    assert len(own) <= 70, sorted(own)


# Guards against the load of all certificates of the host when the client library is imported.
def test_no_certificates_are_loaded_for_plain_http():
    program = IMPORT_PROGRAM + (
        "from aiohttp import connector\n"
        "print(connector._SSL_CONTEXT_VERIFIED.cert_store_stats()['x509'])\n"
    )
    assert run(program).strip() == "0"
