"""Fakes, load drivers, specifications and fault tests; not shipped."""
