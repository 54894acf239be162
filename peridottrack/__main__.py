"""Lets the program run as ``python -m peridottrack``."""

import gc

# Imports make no garbage; a node sets the collector up once it has started.
gc.disable()

from peridottrack.cmdline import main  # noqa: E402

if __name__ == "__main__":
    main()
