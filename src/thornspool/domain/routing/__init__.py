"""Routes, services and workspaces of the operators' configuration."""
