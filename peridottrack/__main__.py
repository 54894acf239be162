"""Entry point of ``python -m peridottrack``."""

import gc
import signal

# A node reloads its settings on SIGHUP once it has started; until then the signal would end it.
if hasattr(signal, "SIGHUP"):
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Imports create no garbage to collect; a node configures the collector once it has started.
gc.disable()

from peridottrack.cmdline import main  # noqa: E402

if __name__ == "__main__":
    main()
