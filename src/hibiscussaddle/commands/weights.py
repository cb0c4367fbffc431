"""Commands that show weight versions."""

from hibiscussaddle.commands import console


class WeightCommands:
    """Show weight versions."""

    def status(self, address: str = "", output: str = "table") -> None:
        """List the newest version of each model and each engine's version."""
        response = console.call(address, "GET", "/v1/weights")
        if output == "table":
            engines = response.pop("engines")
            console.show(response, output)
            console.show(engines, output)
            return
        console.show(response, output)
