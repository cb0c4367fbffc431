"""Commands that show weight versions."""

from hibiscussaddle.commands import console


class WeightCommands:
    """Show weight versions."""

    def status(self, address: str = "", output: str = "table") -> None:
        """List the newest version of each model and each engine's version."""
        found = console.call(address, "GET", "/v1/weights")
        if output == "table":
            engines = found.pop("engines")
            console.show(found, output)
            console.show(engines, output)
            return
        console.show(found, output)
