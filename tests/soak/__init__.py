"""Random faults of real processes, with checks of the callers' responses."""
