"""Iterative proportional fitting (Deming and Stephan, 1940) of the weights of chosen pairs."""

import numpy as np

from dahliabend.subsetting.rendezvous import FloatArray, IntArray

MAX_FITTING_ROUNDS = 60
FITTING_TOLERANCE = 1e-3  # of a column's capacity
SMALLEST_SUM = 1e-300  # divisor in place of 0


def fit_shares(start: FloatArray, demand: FloatArray, capacity: FloatArray) -> FloatArray:
    """Fit a matrix of shares to its row and column sums; pairs with a share of 0 keep it.

    Args:
        start: Initial share of each pair in use, 0 for the others.
        demand: Sum of each row.
        capacity: Sum of each column, reached as closely as the pairs in use allow.
    """
    rows, columns = np.nonzero(start)
    fitted = np.zeros(start.shape)
    fitted[rows, columns] = fit_pair_shares(rows, columns, start[rows, columns], demand, capacity)
    return fitted


def fit_pair_shares(
    rows: IntArray, columns: IntArray, shares: FloatArray, demand: FloatArray, capacity: FloatArray
) -> FloatArray:
    """Fit the shares of the listed pairs, given by row and column, in the way of `fit_shares`."""

    def row_factors() -> FloatArray:
        """Return the factor of each row that brings its sum to the demand."""
        factors: FloatArray = demand / np.maximum(np.bincount(rows, shares, len(demand)), SMALLEST_SUM)
        return factors

    for _ in range(MAX_FITTING_ROUNDS):
        shares = shares * row_factors()[rows]
        column_sums = np.bincount(columns, shares, len(capacity))
        if np.abs(column_sums / capacity - 1).max() <= FITTING_TOLERANCE:
            break
        shares *= (capacity / np.maximum(column_sums, SMALLEST_SUM))[columns]
    return shares * row_factors()[rows]
