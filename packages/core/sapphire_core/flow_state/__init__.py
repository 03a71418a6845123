"""The interface of flow state, which decides where packets of a flow go."""
