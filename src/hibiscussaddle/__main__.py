"""Run the command line as a module."""

import sys

from hibiscussaddle import process_start

if __name__ == "__main__":
    if sys.argv[1:2] == ["gateway"]:
        process_start.ignore_reload_signal()
    # Imported here, since the import takes longer than a signal may.
    from hibiscussaddle import cli

    cli.main()
