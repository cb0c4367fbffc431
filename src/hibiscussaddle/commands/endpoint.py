"""Commands that list endpoints and change their leave marks."""

from hibiscussaddle.commands import marks


class EndpointCommands(marks.MarkCommands):
    """List endpoints and change their leave marks."""

    _kind = "endpoints"
