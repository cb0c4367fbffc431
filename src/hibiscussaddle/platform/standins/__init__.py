"""Stand-ins for the hosting platform, after its published protocol."""
