"""Configuration that is accepted once and never reverts."""
