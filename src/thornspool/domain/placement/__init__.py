"""Which layers each engine should hold, and the orders that lead there."""
