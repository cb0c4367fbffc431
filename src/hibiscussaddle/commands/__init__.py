"""Groups of operator commands."""
