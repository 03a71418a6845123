"""Tests of a whole daemon: readiness, metrics, bad input and failed tasks."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import functools
import logging
import pathlib
import tempfile
from typing import Any
from unittest import mock

import anyio
import httpx
import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from sapphire_data import clock
from sapphire_lab.daemon import daemon_fixture
from sapphire_lab.stand_ins import store
from sapphire_lab.stand_ins import store_faults
from sapphire_node import daemon
from sapphire_node import forwarder
from sapphire_node import graceful_shutdown
from sapphire_wire import packet_builders

ADDRESS = "127.71.2.1"
HEALTH = "/healthz"
READY = "/readyz"
STATUS = "/v1/status"
SLO = "/v1/slo"
METRICS = "/metrics"


class DaemonFixture:
    """One daemon, its store, and a client of its API."""

    def __init__(self, directory: pathlib.Path, http: httpx.AsyncClient):
        self.fake_store = store.FakeStoreServer(clock.MonotonicClock())
        self.directory = directory
        self.http = http
        self.store_url = ""
        self.tasks: Any = None
        self.host: daemon_fixture.RunningDaemon

    async def start(self, leave_notice_ms: int = 0) -> None:
        files = daemon_fixture.create_host_files(
            self.directory,
            ADDRESS,
            self.store_url,
            leave_notice_ms=leave_notice_ms,
        )
        self.host = await daemon_fixture.start_daemon(files, self.tasks)

    async def get(self, path: str) -> httpx.Response:
        return await self.http.get(self.host.files.api_url + path)

    async def wait(
        self, path: str, is_reached: Callable[[httpx.Response], bool]
    ) -> httpx.Response:
        url = self.host.files.api_url + path
        return await daemon_fixture.poll_until(self.http, url, is_reached)

    async def wait_ready(self) -> None:
        await self.wait(READY, lambda answer: answer.is_success)


def run_with_daemon(body: Callable[[DaemonFixture], Awaitable[None]]) -> None:
    async def run() -> None:
        async with contextlib.AsyncExitStack() as stack:
            name = stack.enter_context(tempfile.TemporaryDirectory())
            http = await stack.enter_async_context(daemon_fixture.open_client())
            fixture = DaemonFixture(pathlib.Path(name), http)
            fixture.store_url = await stack.enter_async_context(
                store.run_server(fixture.fake_store)
            )
            fixture.tasks = await stack.enter_async_context(
                anyio.create_task_group()
            )
            await body(fixture)
            fixture.tasks.cancel_scope.cancel()

    anyio.run(run, backend_options={"use_uvloop": True})


class ReadinessTest(testtools.TestCase):
    def test_host_without_configuration_is_healthy_and_not_ready(self) -> None:
        async def body(fixture: DaemonFixture) -> None:
            await fixture.start()
            status = await fixture.wait(
                STATUS, lambda answer: answer.json()["is_store_reachable"]
            )
            self.assertEqual("starting", status.json()["state"])
            self.assertEqual(0, status.json()["active_revision"])
            health = await fixture.get(HEALTH)
            self.assertEqual((200, {"state": "starting"}), _read(health))
            ready = await fixture.get(READY)
            reason = {"ready": False, "reason": "no_configuration"}
            self.assertEqual((503, reason), _read(ready))
            await daemon_fixture.publish_configuration(fixture.store_url)
            await fixture.wait_ready()
            status = await fixture.wait(
                STATUS, lambda answer: answer.json()["active_digest"]
            )
            self.assertEqual("serving", status.json()["state"])
            self.assertEqual(0, status.json()["lag_ms"])

        run_with_daemon(body)

    def test_host_becomes_ready_when_the_store_comes_up(self) -> None:
        async def body(fixture: DaemonFixture) -> None:
            fixture.fake_store.set_faults(store_faults.Faults(is_down=True))
            await fixture.start()
            await fixture.wait(
                STATUS,
                lambda answer: answer.json()["is_store_reachable"] is False,
            )
            self.assertEqual(503, (await fixture.get(READY)).status_code)
            self.assertEqual(200, (await fixture.get(HEALTH)).status_code)
            fixture.fake_store.set_faults(store_faults.Faults())
            await daemon_fixture.publish_configuration(fixture.store_url)
            await fixture.wait_ready()

        run_with_daemon(body)

    def test_loss_of_the_store_leaves_the_host_ready(self) -> None:
        async def body(fixture: DaemonFixture) -> None:
            await daemon_fixture.publish_configuration(fixture.store_url)
            await fixture.start()
            await fixture.wait_ready()
            fixture.fake_store.set_faults(store_faults.Faults(is_down=True))
            await fixture.wait(
                STATUS,
                lambda answer: answer.json()["is_store_reachable"] is False,
            )
            self.assertEqual(200, (await fixture.get(READY)).status_code)
            status = (await fixture.get(STATUS)).json()
            self.assertEqual("serving", status["state"])
            self.assertEqual(1, status["active_revision"])

        run_with_daemon(body)

    def test_leaving_host_is_healthy_and_not_ready(self) -> None:
        async def body(fixture: DaemonFixture) -> None:
            await daemon_fixture.publish_configuration(fixture.store_url)
            await fixture.start(leave_notice_ms=1_000)
            await fixture.wait_ready()
            fixture.host.terminate()
            ready = await fixture.wait(
                READY, lambda answer: not answer.is_success
            )
            reason = {"ready": False, "reason": "leaving"}
            self.assertEqual((503, reason), _read(ready))
            health = await fixture.get(HEALTH)
            self.assertEqual((200, {"state": "leaving"}), _read(health))
            outcome = await fixture.host.wait_ended()
            self.assertEqual(daemon.Outcome.LEFT, outcome)

        run_with_daemon(body)


class MetricsTest(testtools.TestCase):
    def test_instruments_are_served_and_requests_are_counted(self) -> None:
        async def body(fixture: DaemonFixture) -> None:
            await daemon_fixture.publish_configuration(fixture.store_url)
            await fixture.start()
            await fixture.wait_ready()
            files = fixture.host.files
            url = f"http://{files.address}:{files.ports['requests']}/"
            # Nothing listens on the address of the upstream.
            answer = await fixture.http.get(url, headers={"host": "rota"})
            self.assertFalse(answer.is_success)
            async with await anyio.create_udp_socket(local_host=ADDRESS) as udp:
                for name in ("fabric", "control"):
                    await udp.sendto(b"x", ADDRESS, files.ports[name])
            await fixture.wait(METRICS, _has_drops)
            text = (await fixture.get(METRICS)).text
            for line in (
                "# TYPE http_server_request_duration_seconds histogram",
                "# TYPE sapphirearch_packets_total counter",
                "# TYPE sapphirearch_packets_dropped_total counter",
                "# TYPE sapphirearch_control_io_bytes_total counter",
                "# TYPE sapphirearch_control_dropped_total counter",
                "# TYPE sapphirearch_request_events_total counter",
                "# TYPE sapphirearch_members gauge",
                "# TYPE sapphirearch_configuration_revision gauge",
            ):
                self.assertThat(text, matchers.Contains(line))
            self.assertThat(
                text,
                matchers.MatchesRegex(
                    r"(?s).*http_server_request_duration_seconds_count\{"
                    rf'[^}}]*http_request_method="GET",[^}}]*'
                    rf'http_response_status_code="{answer.status_code}"'
                    r"[^}]*\} 1\.0"
                ),
            )
            report = (await fixture.get(SLO)).json()
            series = [
                item
                for item in report["series"]
                if item["objective"] == "requests_answered"
            ]
            counts = series[0]["tiers"][0]["buckets"][0]
            self.assertEqual((0, 1), (counts["good"], counts["total"]))

        run_with_daemon(body)

    def test_brief_status_leaves_out_members_and_upstreams(self) -> None:
        async def body(fixture: DaemonFixture) -> None:
            await daemon_fixture.publish_configuration(fixture.store_url)
            await fixture.start()
            await fixture.wait_ready()
            whole = (await fixture.get(STATUS)).json()
            brief = (await fixture.get(STATUS + "?detail=brief")).json()
            self.assertThat(whole["members"], matchers.HasLength(1))
            self.assertThat(whole["upstreams"], matchers.HasLength(1))
            self.assertEqual([], brief["members"] + brief["upstreams"])

        run_with_daemon(body)


class BadInputTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=3)
    @hypothesis.given(
        strategies.lists(
            strategies.binary(min_size=1, max_size=1_400),
            min_size=20,
            max_size=20,
        )
    )
    def test_arbitrary_bytes_are_dropped_and_counted(
        self, inputs: list[bytes]
    ) -> None:
        async def body(fixture: DaemonFixture) -> None:
            await daemon_fixture.publish_configuration(fixture.store_url)
            await fixture.start()
            await fixture.wait_ready()
            files = fixture.host.files
            async with await anyio.create_udp_socket(local_host=ADDRESS) as udp:
                for data in inputs:
                    for name in ("fabric", "control"):
                        await udp.sendto(data, ADDRESS, files.ports[name])
            for data in inputs:
                for name in ("api", "requests"):
                    await _send_bytes(files.ports[name], data)
            for name in ("packets", "control"):
                counter = f"sapphirearch_{name}_dropped_total"
                await fixture.wait(
                    METRICS, functools.partial(_counts, counter, len(inputs))
                )
            self.assertEqual(200, (await fixture.get(READY)).status_code)
            self.assertIsNone(fixture.host.outcome)

        run_with_daemon(body)


REQUESTS = (
    b"OPTIONS * HTTP/1.1\r\nhost: rota\r\n\r\n",
    b"GET http://rota/ HTTP/1.1\r\nhost: rota\r\n\r\n",
    b"CONNECT rota:80 HTTP/1.1\r\nhost: rota\r\n\r\n",
    b"GET /" + b"a" * 70_000 + b" HTTP/1.1\r\nhost: rota\r\n\r\n",
    b"GET / HTTP/1.1\r\nhost: rota\r\nx: \xff\xfe\r\n\r\n",
    b"POST / HTTP/1.1\r\nhost: rota\r\ncontent-length: "
    + b"9" * 5_000
    + b"\r\n\r\n",
    b"GET / HTTP/1.1\r\nhost: rota\r\nconnection: upgrade\r\n"
    b"upgrade: websocket\r\nsec-websocket-version: 13\r\n"
    b"sec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n",
    b"GET / HTTP/1.1\r\nhost: rota\r\nx-request-deadline-ms: "
    + b"9" * 5_000
    + b"\r\nx-retry-attempts-left: -1\r\n\r\n",
)


class OddRequestTest(testtools.TestCase):
    def test_requests_that_are_odd_end_no_task(self) -> None:
        async def body(fixture: DaemonFixture) -> None:
            await daemon_fixture.publish_configuration(fixture.store_url)
            await fixture.start()
            await fixture.wait_ready()
            files = fixture.host.files
            for name in ("requests", "api"):
                for request in REQUESTS:
                    stream = await anyio.connect_tcp(ADDRESS, files.ports[name])
                    async with stream:
                        await stream.send(request)
                        with anyio.move_on_after(1):
                            with contextlib.suppress(
                                anyio.EndOfStream, anyio.BrokenResourceError
                            ):
                                await stream.receive()
                    self.assertEqual(
                        200, (await fixture.get(READY)).status_code
                    )
                    self.assertIsNone(fixture.host.outcome)

        run_with_daemon(body)


class OtherIpVersionTest(testtools.TestCase):
    def test_upstream_of_the_other_ip_version_fails_no_task(self) -> None:
        async def body(fixture: DaemonFixture) -> None:
            await daemon_fixture.publish_configuration(
                fixture.store_url, upstream="::1"
            )
            await fixture.start()
            await fixture.wait(
                STATUS, lambda answer: answer.json()["active_digest"]
            )
            packet = packet_builders.tcp_packet(
                ("127.0.0.9", 5_000),
                daemon_fixture.SERVICE_ADDRESS,
                packet_builders.SYN,
            )
            files = fixture.host.files
            async with await anyio.create_udp_socket(local_host=ADDRESS) as udp:
                await udp.sendto(packet, ADDRESS, files.ports["fabric"])
            await fixture.wait(
                METRICS, lambda answer: "AddressRefused" in answer.text
            )
            self.assertIsNone(fixture.host.outcome)

        run_with_daemon(body)


class LastRequestTest(testtools.TestCase):
    """Pattern: a request arrives while the last step of a stop is taken."""

    def test_a_request_at_the_end_of_a_stop_gets_an_answer(self) -> None:
        async def end_at_once(
            _: object, signals: daemon.Signals
        ) -> graceful_shutdown.Result:
            await anext(signals)
            return graceful_shutdown.Result.FINISHED

        async def body(fixture: DaemonFixture) -> None:
            await daemon_fixture.publish_configuration(fixture.store_url)
            await fixture.start()
            await fixture.wait_ready()
            port = fixture.host.files.ports["requests"]
            async with await anyio.connect_tcp(ADDRESS, port) as stream:
                head = b"PUT / HTTP/1.1\r\nhost: rota\r\ncontent-length: 2\r\n"
                await stream.send(head + b"\r\n1")
                # The head has been read once the exchange is open.
                await anyio.sleep(0.3)
                fixture.host.terminate()
                await anyio.sleep(0.3)
                await stream.send(b"2")
                answer = await stream.receive()
                self.assertThat(answer, matchers.StartsWith(b"HTTP/1.1 503"))
                self.assertThat(answer, matchers.Contains(b"sapphire-outcome"))
            outcome = await fixture.host.wait_ended()
            self.assertEqual(daemon.Outcome.LEFT, outcome)

        with mock.patch.object(
            graceful_shutdown.GracefulShutdown, "run", end_at_once
        ):
            run_with_daemon(body)


class FailedTaskTest(testtools.TestCase):
    def test_open_request_does_not_delay_the_end_of_a_failed_daemon(
        self,
    ) -> None:
        async def body(fixture: DaemonFixture) -> None:
            await daemon_fixture.publish_configuration(fixture.store_url)
            await fixture.start()
            await fixture.wait_ready()
            port = fixture.host.files.ports["requests"]
            stream = await anyio.connect_tcp(ADDRESS, port)
            async with stream:
                # The request is incomplete and has a deadline of 60 seconds, so
                # that only the end of the daemon can end it.
                fields = (
                    b"POST / HTTP/1.1",
                    b"host: rota",
                    b"x-request-deadline-ms: 60000",
                    b"content-length: 9",
                )
                await stream.send(b"\r\n".join(fields) + b"\r\n\r\n")
                broken_handle = mock.patch.object(
                    forwarder.Forwarder, "handle", side_effect=KeyError("x")
                )
                with broken_handle:
                    outcome = await fixture.host.wait_ended()
            self.assertEqual(daemon.Outcome.FAILED, outcome)

        run_with_daemon(body)

    def test_error_in_one_task_ends_the_daemon_and_logs_one_line(self) -> None:
        async def body(fixture: DaemonFixture) -> None:
            await fixture.start()
            with self.assertLogs("sapphire_node.daemon", "ERROR") as logs:
                broken_handle = mock.patch.object(
                    forwarder.Forwarder, "handle", side_effect=KeyError("x")
                )
                with broken_handle:
                    await daemon_fixture.publish_configuration(
                        fixture.store_url
                    )
                    outcome = await fixture.host.wait_ended()
            self.assertEqual(daemon.Outcome.FAILED, outcome)
            self.assertThat(logs.records, matchers.HasLength(1))
            self.assertEqual("task_failed", logs.records[0].getMessage())
            self.assertEqual(logging.ERROR, logs.records[0].levelno)

        run_with_daemon(body)


def _read(answer: httpx.Response) -> tuple[int, Any]:
    return answer.status_code, answer.json()


def _counts(name: str, count: int, answer: httpx.Response) -> bool:
    return _sum(answer.text, name) == count


def _has_drops(answer: httpx.Response) -> bool:
    names = ("packets", "control")
    return all(
        _counts(f"sapphirearch_{name}_dropped_total", 1, answer)
        for name in names
    )


def _sum(text: str, name: str) -> float:
    return sum(
        float(line.rpartition(" ")[2])
        for line in text.splitlines()
        if line.startswith(name)
    )


async def _send_bytes(port: int, data: bytes) -> None:
    stream = await anyio.connect_tcp(ADDRESS, port)
    async with stream:
        with contextlib.suppress(anyio.BrokenResourceError):
            await stream.send(data)
