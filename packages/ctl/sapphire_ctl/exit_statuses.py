"""The exit statuses of `sapphirectl`, on which scripts may rely."""

from collections.abc import Iterable
import enum

from sapphire_ctl import failures as ctl_failures
from sapphire_data import failures
from sapphire_net.store import change_failures
from sapphire_net.store import failures as store_failures
from sapphire_net.trust import failures as trust_failures


class ExitStatus(enum.IntEnum):
    """The outcome of a run; a value never changes its meaning."""

    OK = 0
    # The interpreter exits with this after an unhandled exception.
    UNEXPECTED = 1
    # The command-line library exits with this for a wrong option.
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
    # The command-line library exits with this when interrupted.
    INTERRUPTED = 130


# The first row with the type of any of the failures decides.
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


def status_of(found_failures: Iterable[failures.Failure]) -> ExitStatus:
    """Returns the exit status for the failures of a run.

    Args:
        found_failures: All failures of the run.

    Returns:
        `OK` if there are none; the status of the first row that has one of
        their types; `INVALID`, for errors of an input, if no row has.
    """
    all_failures = tuple(found_failures)
    if not all_failures:
        return ExitStatus.OK
    for types, status in _STATUSES_BY_FAILURES:
        if any(isinstance(failure, types) for failure in all_failures):
            return status
    return ExitStatus.INVALID
