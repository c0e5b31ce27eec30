"""Byte budgets for this host's fixed share of the links to other regions."""

from skylarksill import limits

# Requests of the entry process and answers of the dispatcher each get half of a host's share.
BUDGETS_PER_HOST = 2
FRAMING_OVERHEAD_BYTES = 512


class LinkBudgets:
    """Byte budgets of the links from this host's region to other regions.

    Args:
      region: Region of this host.
    """

    def __init__(self, region):
        self._region = region
        self._shares = {}
        self._budgets = {}

    def update(self, configuration):
        """Applies the links of a configuration; a budget whose share is unchanged is kept."""
        shares = _split_links(configuration, self._region)
        self._budgets = {
            target: (
                self._budgets[target]
                if self._shares.get(target) == share
                else limits.ByteBudget(share)
            )
            for target, share in shares.items()
        }
        self._shares = shares

    def wait(self, target, size, clock, max_wait_s):
        """Waits until the budget of the link to a region allows sending a number of bytes.

        Args:
          target: The other region; there is no wait for a region without a link.
          size: Number of bytes.
          clock: A clock with ``monotonic()`` and ``sleep(s)``.
          max_wait_s: Longest wait in seconds.
        Returns:
          True once the bytes are counted and may be sent; False if that would take too long.
        """
        budget = self._budgets.get(target)
        if budget is None:
            return True
        deadline = clock.monotonic() + max_wait_s
        while True:
            now = clock.monotonic()
            wait_s = budget.take(size, now)
            if wait_s == 0.0:
                return True
            if wait_s is None or now + wait_s > deadline:
                return False
            clock.sleep(wait_s)


def _split_links(configuration, region):
    zones = {zone.zone_id for zone in configuration.zones if zone.region_id == region}
    hosts = sum(host.zone_id in zones for host in configuration.hosts)
    budget_count = max(1, hosts) * BUDGETS_PER_HOST
    return {
        link.target: link.bytes_per_s / budget_count
        for link in configuration.links
        if link.source == region
    }


def measure_answer(answer):
    """Returns the bytes that an answer takes on a link, framing included."""
    headers = sum(len(name) + len(value) + 4 for name, value in answer.headers)
    return FRAMING_OVERHEAD_BYTES + len(answer.body) + headers


def measure_request(request):
    """Returns the bytes that a request takes on a link, framing included."""
    headers = sum(len(name) + len(value) + 4 for name, value in request.headers)
    ticket = len(request.ticket or "")
    return FRAMING_OVERHEAD_BYTES + len(request.body) + len(request.path) + headers + ticket
