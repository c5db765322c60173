"""The command-line tool for operators, with one module per command."""
