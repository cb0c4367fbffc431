"""Roll-out of weight versions over all engines of the fleet."""
