"""Commands that list instances, mark them as leaving and stop them."""

from hibiscussaddle.commands import marks
from hibiscussaddle.commands import orders


class InstanceCommands(marks.MarkCommands):
    """List instances, mark them as leaving and stop them."""

    _kind = "instances"

    def stop(
        self,
        id: str,
        reason: str = "",
        address: str = "",
        output: str = "json",
    ) -> None:
        """Start the planned stop of an instance."""
        orders.send(address, self._kind, id, "stop", reason, output)
