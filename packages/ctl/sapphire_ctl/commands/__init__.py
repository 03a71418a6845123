"""The commands, a module for each group of them."""
