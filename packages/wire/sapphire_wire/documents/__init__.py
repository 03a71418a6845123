"""Models of the document and the bindings, and encoded configurations."""
