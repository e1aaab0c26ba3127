"""Iterative proportional fitting of the weights of given pairs (Deming and Stephan, 1940)."""

import numpy as np

from dahliabend.subsetting.rendezvous import FloatArray, IntArray

MAX_FITTING_ROUNDS = 60
FITTING_TOLERANCE = 1e-3  # of a column's capacity
SMALLEST_SUM = 1e-300  # in place of 0 as a divisor


def fit_shares(start: FloatArray, demand: FloatArray, capacity: FloatArray) -> FloatArray:
    """Fit a matrix of shares; pairs without a share keep none.

    Args:
        start: A share for each pair in use, 0 for the others.
        demand: What each row has to sum to.
        capacity: What each column has to sum to, as nearly as the pairs allow.
    """
    rows, columns = np.nonzero(start)
    fitted = np.zeros(start.shape)
    fitted[rows, columns] = fit_pair_shares(rows, columns, start[rows, columns], demand, capacity)
    return fitted


def fit_pair_shares(
    rows: IntArray, columns: IntArray, shares: FloatArray, demand: FloatArray, capacity: FloatArray
) -> FloatArray:
    """Fit the shares of single pairs, given by row and column; otherwise as `fit_shares`."""

    def row_factors() -> FloatArray:
        """Return what the shares of each row have to be multiplied by."""
        factors: FloatArray = demand / np.maximum(np.bincount(rows, shares, len(demand)), SMALLEST_SUM)
        return factors

    for _ in range(MAX_FITTING_ROUNDS):
        shares = shares * row_factors()[rows]
        column_sums = np.bincount(columns, shares, len(capacity))
        if np.abs(column_sums / capacity - 1).max() <= FITTING_TOLERANCE:
            break
        shares *= (capacity / np.maximum(column_sums, SMALLEST_SUM))[columns]
    return shares * row_factors()[rows]
