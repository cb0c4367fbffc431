"""Pure decisions and state machines without I/O or clocks."""
