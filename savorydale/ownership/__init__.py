"""Which entry schedules, and how another one takes over."""
