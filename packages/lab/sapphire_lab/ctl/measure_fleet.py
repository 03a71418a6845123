"""Measures how long the command line takes to query the status of each host.

Run with `python -m sapphire_lab.ctl.measure_fleet`; the last line is one JSON
object. The fake hosts run in the same process, so that the time for each host
includes the work of both ends.
"""

import contextlib
import json
import pathlib
import tempfile
import time

import anyio

from sapphire_ctl.fleet import client
from sapphire_ctl.fleet import data
from sapphire_data import clock
from sapphire_lab.stand_ins import host_api
from sapphire_lab.stand_ins import store
from sapphire_lab.trust import certificates
from sapphire_net.trust import roles
from sapphire_net.trust import tls
from sapphire_wire import api

_FLEET_SIZES = (10, 60)
_TIMEOUT_MS = 20_000
_NS_PER_MS = 1_000_000


async def _measure(size: int, with_tls: bool) -> float:
    """Returns the milliseconds of one query of all hosts of a fleet.

    Args:
        size: The number of hosts.
        with_tls: Whether the hosts serve TLS and the client has a certificate.
    """
    fake_store = store.FakeStoreServer(clock.ManualClock())
    server_context = None
    client_context = None
    with tempfile.TemporaryDirectory() as name:
        if with_tls:
            authority = certificates.CertificateAuthority("trial")
            directory = pathlib.Path(name)
            server_context = tls.create_context(
                authority.issue(directory / "host", "h0", "host"),
                is_server=True,
                permitted_roles=roles.ANY_ROLE,
            ).ok
            client_context = tls.create_context(
                authority.issue(directory / "ann", "ann", "operator"),
                is_server=False,
                permitted_roles=frozenset({roles.Role.HOST}),
            ).ok
        async with contextlib.AsyncExitStack() as stack:
            hosts = []
            for number in range(size):
                host = host_api.FakeHost(f"h{number}", fake_store, "/s/")
                await stack.enter_async_context(
                    host_api.run_server(host, server_context)
                )
                hosts.append(host)
            hosts[0].members = tuple(
                api.MemberStatus(
                    host_id=host.host_id,
                    data_centre="tacoma",
                    address="127.0.0.1",
                    api_port=host.port,
                    state="alive",
                )
                for host in hosts
            )
            seed = data.url_address("127.0.0.1", hosts[0].port)
            fleet = client.FleetClient([seed], _TIMEOUT_MS, client_context)
            start_ns = time.perf_counter_ns()
            status = await fleet.fetch_statuses()
            duration_ns = time.perf_counter_ns() - start_ns
    if len(status.statuses) != size:
        raise ValueError(f"{len(status.unanswered)} hosts did not answer")
    return duration_ns / _NS_PER_MS


def main() -> None:
    """Prints the time per host, from two fleet sizes, with and without TLS."""
    report: dict[str, object] = {"hosts": _FLEET_SIZES}
    small, large = _FLEET_SIZES
    for name, with_tls in (("plain", False), ("tls", True)):
        durations_ms = [
            anyio.run(_measure, size, with_tls) for size in _FLEET_SIZES
        ]
        slope_ms = (durations_ms[1] - durations_ms[0]) / (large - small)
        report[f"{name}_ms"] = [round(value, 1) for value in durations_ms]
        report[f"{name}_ms_per_host"] = round(slope_ms, 2)
    print(json.dumps(report))


if __name__ == "__main__":
    main()
