"""The exit statuses of `sapphirectl`, documented for scripts."""

from collections.abc import Iterable
import enum

from sapphire_ctl import failures as ctl_failures
from sapphire_data import failures
from sapphire_net.store import change_failures
from sapphire_net.store import failures as store_failures
from sapphire_net.trust import failures as trust_failures


class ExitStatus(enum.IntEnum):
    """What a run came to; the values never change their meaning."""

    OK = 0
    # An exception that no command expects ends the interpreter with this.
    UNEXPECTED = 1
    # The command-line library ends a run with this for a wrong option.
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    REFUSED = 5
    DANGEROUS = 6
    STORE_UNAVAILABLE = 7
    OUTCOME_UNKNOWN = 8
    HOSTS_UNREACHABLE = 9
    NOT_IN_FORCE = 10
    BURNING = 11
    NOT_FOUND = 12
    # The command-line library ends an interrupted run with this.
    INTERRUPTED = 130


# The first row that fits any of the failures decides.
_STATUSES_BY_FAILURES: tuple[
    tuple[tuple[type[failures.Failure], ...], ExitStatus], ...
] = (
    (
        (change_failures.WriteUnconfirmed, store_failures.StoreOutcomeUnknown),
        ExitStatus.OUTCOME_UNKNOWN,
    ),
    ((change_failures.WriteConflict,), ExitStatus.CONFLICT),
    (
        (
            change_failures.NotProven,
            ctl_failures.NotProven,
            ctl_failures.PromotionRequired,
            ctl_failures.NoPromotionSource,
            trust_failures.RoleRefused,
        ),
        ExitStatus.REFUSED,
    ),
    ((change_failures.DangersNotAcknowledged,), ExitStatus.DANGEROUS),
    (
        (
            ctl_failures.UnknownName,
            ctl_failures.UnknownEnvironment,
            change_failures.RevisionNotFound,
        ),
        ExitStatus.NOT_FOUND,
    ),
    (
        (store_failures.StoreFailure, change_failures.StoredDataInvalid),
        ExitStatus.STORE_UNAVAILABLE,
    ),
    ((ctl_failures.ObjectiveBurning,), ExitStatus.BURNING),
    ((ctl_failures.NotInForce,), ExitStatus.NOT_IN_FORCE),
    (
        (ctl_failures.HostUnreachable, ctl_failures.HostAnswerInvalid),
        ExitStatus.HOSTS_UNREACHABLE,
    ),
)


def status_of(found: Iterable[failures.Failure]) -> ExitStatus:
    """Returns the exit status for the failures of a run.

    Args:
        found: All failures.

    Returns:
        `OK` without any; `INVALID` for those of an input.
    """
    known = tuple(found)
    if not known:
        return ExitStatus.OK
    for types, status in _STATUSES_BY_FAILURES:
        if any(isinstance(failure, types) for failure in known):
            return status
    return ExitStatus.INVALID
