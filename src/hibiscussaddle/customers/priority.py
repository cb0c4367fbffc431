"""The priority of a caller's work."""

from hibiscussaddle.routes import routing_config


def effective_priority(
    workspace: routing_config.Workspace | None, route: routing_config.Route
) -> int:
    """Return the priority of a workspace's request; 0 is the highest."""
    if workspace is None or workspace.priority is None:
        return route.priority
    return workspace.priority
