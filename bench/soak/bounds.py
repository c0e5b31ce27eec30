"""Bounds that the checks of the soak share, in seconds unless their names say otherwise."""

from bench.soak import records

# Bounds from the settings of the soak (see standins.platformdata) and from the requirements.
CONTACT_S = 4.0
DRAIN_S = 2.5
EVACUATE_S = 5.0
CONFIG_APPLY_S = 2.5
ROLLBACK_SLACK_S = 0.25
PEER_PROPAGATION_S = 6.0
STOP_GRACE_S = 3.0
RETRY_RATIO = 0.2
RETRY_EXTRA = 58
RETRY_WINDOW_S = 10.0
# All processes of the soak run on one computer, which delays their wake-ups slightly.
SCHEDULING_DELAY_S = 0.3
# Time from a request's last byte to the end of its connection from which it counts as read.
LOSS_SLACK_S = 0.2
# A stop or a change still counts as the reason of a lost request for this long.
AFTERMATH_S = 1.0


def find_bound_s(observations, host, since, until, bound_s):
    """Returns the bound that applies to a host in a time span, or infinity if none does."""
    begin = since - CONTACT_S
    bound_s += SCHEDULING_DELAY_S
    if observations.is_disturbed(host, begin, until, records.DisturbedPart.PROCESS):
        return float("inf")
    if observations.is_disturbed(None, begin, until, records.DisturbedPart.STORE):
        return float("inf")
    if observations.is_disturbed(host, begin, until, records.DisturbedPart.STORE_PATH):
        return bound_s + PEER_PROPAGATION_S
    return bound_s
