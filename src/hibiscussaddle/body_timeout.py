"""Middleware that limits the time in which a request's body arrives."""

import anyio
from starlette import exceptions
from starlette import types


class BodyTimeout:
    """Refuse requests to a Starlette app whose body is late."""

    def __init__(self, app: types.ASGIApp, seconds: float) -> None:
        """Limit the time of each whole body."""
        self._app = app
        self._seconds = seconds

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Pass on one request."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        deadline = anyio.current_time() + self._seconds
        is_complete = False

        async def receive_in_time() -> types.Message:
            nonlocal is_complete
            if is_complete:
                return await receive()
            with anyio.CancelScope(deadline=deadline):
                message = await receive()
                is_complete = not message.get("more_body")
                return message
            # The app turns the exception into a response.
            raise exceptions.HTTPException(
                408, headers={"connection": "close"}
            )

        await self._app(scope, receive_in_time, send)
