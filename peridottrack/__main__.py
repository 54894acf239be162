"""Entry point of ``python -m peridottrack``."""

import gc

# Imports create no garbage to collect; a node configures the collector once it has started.
gc.disable()

from peridottrack.cmdline import main  # noqa: E402

if __name__ == "__main__":
    main()
