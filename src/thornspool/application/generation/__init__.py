"""Use cases of generated text: a stream of tokens over a path of engines."""
