"""Messaging between entries over pynng and TCP."""
