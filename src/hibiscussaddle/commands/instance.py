"""Commands that list instances, mark them as leaving and stop them."""

from hibiscussaddle.commands import console
from hibiscussaddle.commands import orders


class InstanceCommands:
    """List instances, mark them as leaving and stop them."""

    def list(self, address: str = "", output: str = "table") -> None:
        """List the instances that an instance knows."""
        found = console.call(address, "GET", "/v1/instances")
        console.show(found["instances"], output)

    def leave(
        self,
        id: str,
        reason: str = "",
        address: str = "",
        output: str = "json",
    ) -> None:
        """Take an instance out of the balancer's rotation."""
        orders.send(address, "instances", id, "leave", reason, output)

    def clear(
        self,
        id: str,
        reason: str = "",
        address: str = "",
        output: str = "json",
    ) -> None:
        """Put an instance back into rotation."""
        orders.send(address, "instances", id, "clear", reason, output)

    def stop(
        self,
        id: str,
        reason: str = "",
        address: str = "",
        output: str = "json",
    ) -> None:
        """Start the planned stop of an instance."""
        orders.send(address, "instances", id, "stop", reason, output)
