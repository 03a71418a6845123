"""Client of the store, and what is published through it."""
