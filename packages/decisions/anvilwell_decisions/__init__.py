"""Pure decisions: no input or output, no wall clock."""
