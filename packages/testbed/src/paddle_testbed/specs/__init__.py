"""Specifications for the model checker, one module per protocol.

Each module defines ``SPECS``, whose invariants must hold, and ``DEFECTS``, the
same models with a seeded defect for which the checker must find a violated
invariant. Both are checked by :mod:`paddle_testbed.model`.
"""
