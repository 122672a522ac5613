"""Tables of the documentation, made from the code."""
