"""Which targets may be given new work, and how loaded they are."""
