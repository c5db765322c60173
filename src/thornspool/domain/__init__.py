"""The pure decisions, one package an aggregate."""
