"""Search for request paths over the layer ranges of engines."""
