"""Specifications for the model checker, one module per protocol.

Each module defines ``SPECS``, which have to hold, and ``DEFECTS``, the same
models with a seeded defect that the checker has to refute. They are run by
:mod:`paddle_testbed.model`.
"""
