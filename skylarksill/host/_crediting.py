"""Credit of requests whose account has a quota: from the admission to the last send."""

import time

from skylarksill.host import accounts

# Longest wait of a request for credit. Its account may be served by other hosts until just now, and
# holders in other regions answer within a tenth of a second.
MAX_CREDIT_WAIT_S = 0.25
# Share of a request's remaining time that it may wait for credit, so that its run still fits.
CREDIT_WAIT_SHARE = 0.25


class Crediting:
    """Acquires permits for requests, and gives back those that no send may have used.

    Args:
      credit: The broker of credit, see creditbroker.CreditBroker; None without quotas.
      log: The EventLog.

    Attributes:
      credit: As above; set before the first request.
    """

    def __init__(self, credit, log):
        self.credit = credit
        self._log = log

    def acquire(self, progress):
        """Has a request hold a permit if it needs one.

        Args:
          progress: The Progress.
        Returns:
          None, or the accounts.CreditRefusal.
        """
        if self.is_covered(progress):
            return None
        self.release(progress)
        remaining_s = max(0.0, progress.deadline_at - time.monotonic())
        wait_s = min(MAX_CREDIT_WAIT_S, CREDIT_WAIT_SHARE * remaining_s)
        account = accounts.find_account(progress.identity)
        result = self.credit.acquire(account, wait_s)
        if isinstance(result, accounts.CreditRefusal):
            return result
        progress.permit = result
        return None

    def is_covered(self, progress):
        """Returns True if a request may be sent now as far as the quota of its account goes.

        Its permit counts from now on; one that was held for too long has ended.
        """
        account = accounts.find_account(progress.identity)
        if self.credit is None or account is None or not account.is_limited:
            return True
        return progress.permit is not None and self.credit.confirm(progress.permit)

    def release(self, progress):
        """Gives back the permit that a request holds, if it holds one."""
        permit, progress.permit = progress.permit, None
        if permit is None:
            return
        try:
            self.credit.give_back(permit)
        except Exception as error:
            # The account loses one permission; the request keeps its answer.
            self._log.write_exception("request.credit", error)
