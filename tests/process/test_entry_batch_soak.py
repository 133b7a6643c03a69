"""A short run of the soak of batches, with a fixed seed; batch_soak.py runs longer ones by hand."""

import unittest

from batch_soak import BatchSoak


class EntryBatchSoak(BatchSoak):
    seed, seconds = 5, 24


del BatchSoak  # or it would run as well

if __name__ == "__main__":
    unittest.main(verbosity=2)
