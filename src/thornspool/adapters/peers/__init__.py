"""Messages between entries over pynng and TCP."""
