"""A change of the configuration while both store followers are cut off."""

import asyncio
import os
import pathlib
import sys
import time
from typing import Any

from stand_ins import client as client_lib
from stand_ins import world as world_lib

# As at the site kalnins-quotes.
ZONES = {"riga-a": 3, "riga-b": 2, "riga-c": 2, "riga-d": 2}
TARGETS_A_ZONE = 2
SERVICE = "board"
WORK_S = 0.02
STEADY_PORT = 8_443
FIRST_DROPPED_PORT = 9_000
ROUNDS = 10
BEFORE_S = 5.0
# `core_cut` lasts up to 6.97 s and takes up to two machines.
CUT_S = 4.6
MOST_CUT = 2
CUT_AFTER_S = 0.02
APPLY_S = 3.0
PROBE_EVERY_S = 0.1
DEADLINE_S = 1.0
# A host that watches asks again each second.
WATCHING_S = 2.0
SEED = 1


class Case:
    """The operator's changes and the flows that test them."""

    def __init__(self, world: world_lib.World) -> None:
        self.world = world
        self.broken = 0
        # When the store acknowledged that a port's route was dropped.
        self.dropped_s: dict[int, float] = {}
        # When a machine was last cut off, or came back.
        self.cut_s: dict[str, float] = {}
        self.cut_now: set[str] = set()

    def followers(self) -> list[str]:
        """Returns the machines that watch the configuration now."""
        now_s = time.monotonic()
        return [
            name
            for name, since_s in self.world.store.watching_since.items()
            if now_s - since_s < WATCHING_S
        ]

    async def run_round(self, number: int, *, has_trouble: bool) -> None:
        """Drops a route just after the followers are cut off."""
        world = self.world
        port = FIRST_DROPPED_PORT + number
        world.routes[port] = SERVICE
        world.configure()
        await asyncio.sleep(BEFORE_S)
        world.configure()
        await asyncio.sleep(CUT_AFTER_S)
        followers = self.followers()
        world.log(f"machines that follow the store: {followers}")
        if has_trouble:
            self.cut_now = set(followers[:MOST_CUT])
            world.store.silent |= self.cut_now
            world.log(f"partitioned from the store: {sorted(self.cut_now)}")
        cut_s = time.monotonic()
        await asyncio.sleep(CUT_AFTER_S)
        del world.routes[port]
        version = world.configure()
        self.dropped_s[port] = time.monotonic()
        world.log(f"version {version} without {port} is acknowledged")
        probes = [
            world.start(self._probe(host, port))
            for host in world.hosts
            if host.name not in self.cut_now
        ]
        await asyncio.sleep(cut_s + CUT_S - time.monotonic())
        world.store.silent -= self.cut_now
        self.cut_now = set()
        for probe in probes:
            probe.cancel()

    async def _probe(self, host: Any, port: int) -> None:
        """Sends requests for a dropped route to one machine."""
        client = self.world.add_client(host.zone)
        client.only_host = host
        number = 0
        while True:
            number += 1
            self.world.start(self._ask(client, host, port, number))
            await asyncio.sleep(PROBE_EVERY_S)

    async def _ask(
        self, client: client_lib.Client, host: Any, port: int, number: int
    ) -> None:
        flow = client.new_flow((self.world.service_address, port))
        attempt = f"{host.name}-{port}-{number}"
        sent_s = time.monotonic()
        outcome = await flow.open()
        if outcome == "open":
            answer = await flow.ask(
                f"GET /look HTTP/1.1\r\nAttempt-Id: {attempt}\r\n",
                b"",
                DEADLINE_S,
            )
            flow.close()
            late_s = sent_s - self.dropped_s[port]
            outcome = f"answered {answer[0][:15]}"
            if not isinstance(answer, str) and late_s > APPLY_S:
                self.broken += 1
                outcome += (
                    f": CONFIG broken, sent {late_s:.3f} s after the "
                    f"acknowledgement, to {host.name}, which is in touch"
                )
        self.world.log(
            f"{attempt}, sent at {self.world.since_start(sent_s)}: {outcome}"
        )
        client.forget(flow)


async def prepare(world: world_lib.World) -> None:
    """Starts machines and targets."""
    world.routes[STEADY_PORT] = SERVICE
    await world.start_hosts(ZONES)
    for zone in ZONES:
        for _ in range(TARGETS_A_ZONE):
            world.add_target(SERVICE, zone, WORK_S)


async def play(world: world_lib.World) -> int:
    """Plays the rounds; returns the exit status."""
    case = Case(world)
    has_trouble = os.environ.get("TROUBLE") != "0"
    for number in range(ROUNDS):
        await case.run_round(number, has_trouble=has_trouble)
    for host in world.hosts:
        if host.exits:
            world.log(f"{host.name} ended by itself: {host.exits}")
    world.log(f"requests run by a route dropped before: {case.broken}")
    return 1 if case.broken else 0


if __name__ == "__main__":
    RECORD = pathlib.Path(__file__).with_name("record.txt")
    sys.exit(asyncio.run(world_lib.run(RECORD, SEED, prepare, play)))
