"""Request rates that endpoints ask for, and who may send how many."""
