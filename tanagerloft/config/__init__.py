"""Settings of a process, and the inventory shared by the fleet."""
