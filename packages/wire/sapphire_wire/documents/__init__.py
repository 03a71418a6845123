"""Border models of the document and bindings, and the stored records."""
