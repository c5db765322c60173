"""Use cases of configuration: publishing it and following it."""
