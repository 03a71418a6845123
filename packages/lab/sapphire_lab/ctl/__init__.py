"""A fixture for tests of the command line, and measurements of it."""
