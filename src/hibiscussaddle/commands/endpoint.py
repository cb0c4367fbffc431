"""Commands that list endpoints and change their leave marks."""

from hibiscussaddle.commands import console
from hibiscussaddle.commands import orders


class EndpointCommands:
    """List endpoints and change their leave marks."""

    def list(self, address: str = "", output: str = "table") -> None:
        """List the endpoints that an instance knows."""
        found = console.call(address, "GET", "/v1/endpoints")
        console.show(found["endpoints"], output)

    def leave(
        self,
        id: str,
        reason: str = "",
        address: str = "",
        output: str = "json",
    ) -> None:
        """Give an endpoint no new work, on every instance."""
        orders.send(address, "endpoints", id, "leave", reason, output)

    def clear(
        self,
        id: str,
        reason: str = "",
        address: str = "",
        output: str = "json",
    ) -> None:
        """Give an endpoint work again."""
        orders.send(address, "endpoints", id, "clear", reason, output)
