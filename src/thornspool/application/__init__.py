"""The use cases, written against ports that adapters carry out."""
