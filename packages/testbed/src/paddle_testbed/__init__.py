"""Fakes, load drivers, specifications and faults; not shipped."""
