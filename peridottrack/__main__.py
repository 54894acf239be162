"""Lets the program run as ``python -m peridottrack``."""

from peridottrack.cmdline import main

if __name__ == "__main__":
    main()
