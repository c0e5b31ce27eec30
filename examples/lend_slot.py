"""Lends a slot that two processes must never use at the same time.

The borrower counts the loan from its request and the lender from its grant, so no clocks are
compared, and the lender waits until work on the slot has ended.
"""

from skylarksill import loans


def main():
    """Prints who may use the slot of an upstream over time."""
    lender = loans.LenderTable()
    borrower = loans.BorrowerTable()
    requested_at, granted_at = 10.0, 10.3
    if lender.grant("upstream-1", "host-1", granted_at):
        borrower.accept(["upstream-1"], requested_at, loans.LOAN_DURATION_S)
    for now in (10.5, 11.9, 12.1, 16.7, 16.9):
        may_borrow = borrower.is_held("upstream-1", now)
        may_use = lender.is_returned("upstream-1", now)
        print(f"{now} s: borrower may start work: {may_borrow}, lender may use it: {may_use}")


if __name__ == "__main__":
    main()
