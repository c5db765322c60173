"""Commands of the tool, with one module per command."""
