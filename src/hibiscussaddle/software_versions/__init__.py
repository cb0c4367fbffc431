"""Which endpoints may continue what a software version began."""
