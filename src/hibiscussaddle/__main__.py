"""Run the command line as a module."""

from hibiscussaddle import cli

if __name__ == "__main__":
    cli.main()
