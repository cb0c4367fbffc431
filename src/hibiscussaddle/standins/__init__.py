"""Small fakes of the outside systems, for tests, demo and bench."""
