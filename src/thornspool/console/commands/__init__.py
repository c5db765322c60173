"""Commands of the tool, one a module."""
