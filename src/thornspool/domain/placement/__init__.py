"""Placement of layer ranges on engines, and the orders that establish it."""
