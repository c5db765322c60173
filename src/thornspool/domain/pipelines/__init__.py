"""Placement of model requests and checks of their streams."""
