"""The state of the fleet: endpoints, members and configuration."""
