"""Fixed seeds of the branch soak; seeds that have failed are kept here."""

import pytest

from savorydale.tests.branch_soak import run_seed


# 107: a cancellation whose response was lost had been stored.
# 110: a worker's new incarnation got the acknowledgement cursor of the previous one.
# 119: a start order reached a worker's new incarnation before a renewal reported it.
# 11049: start orders that waited were sent to a worker that had shrunk meanwhile.
@pytest.mark.parametrize("seed", [1, 107, 110, 119, 11049])
def test_random_faults_violate_no_invariant(seed):
    assert run_seed(seed).violations == []
