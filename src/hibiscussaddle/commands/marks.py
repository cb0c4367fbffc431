"""Commands that endpoints and instances share."""

from hibiscussaddle.commands import console
from hibiscussaddle.commands import orders


class MarkCommands:
    """List targets of one kind and change their leave marks."""

    _kind = ""

    def list(self, address: str = "", output: str = "table") -> None:
        """List the targets that an instance knows."""
        response = console.call(address, "GET", f"/v1/{self._kind}")
        console.show(response[self._kind], output)

    def leave(
        self,
        id: str,
        reason: str = "",
        address: str = "",
        output: str = "json",
    ) -> None:
        """Set the leave mark: no new endpoint work, instance not ready."""
        orders.send(address, self._kind, id, "leave", reason, output)

    def clear(
        self,
        id: str,
        reason: str = "",
        address: str = "",
        output: str = "json",
    ) -> None:
        """Clear the leave mark."""
        orders.send(address, self._kind, id, "clear", reason, output)
