"""The command-line tool, one module a command."""
