"""Decision logic without input or output: time and events are arguments."""
