"""Use cases of text generation: token streams through model engines."""
