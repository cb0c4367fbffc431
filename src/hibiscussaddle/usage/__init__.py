"""Count the requests of each workspace and report them."""
