"""Package of rosemarypaddle."""
