"""Commands that show the steps of trainers."""

import urllib.parse

from hibiscussaddle.commands import console


class StepCommands:
    """Show the steps of trainers and why a trainer waits."""

    def list(self, address: str = "", output: str = "table") -> None:
        """List the steps open on an instance."""
        response = console.call(address, "GET", "/v1/steps")
        console.show(response["steps"], output)

    def show(
        self,
        customer: str,
        trainer: str,
        step: str,
        address: str = "",
        output: str = "table",
    ) -> None:
        """Show one step: its counts, versions and what it waits for."""
        # fire parses names made of digits as numbers.
        names = (str(customer), str(trainer), str(step))
        path = "/".join(urllib.parse.quote(name, safe="") for name in names)
        console.show(console.call(address, "GET", f"/v1/steps/{path}"), output)
