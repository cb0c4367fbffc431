"""Groups of operators' commands."""
