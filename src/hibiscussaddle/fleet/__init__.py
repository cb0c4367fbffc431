"""What an instance knows of the fleet: endpoints, members, configuration."""
