"""How old a belief may be, and what proves its age."""
