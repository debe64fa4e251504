"""The proxy process: its configuration, its parts, its event loop and its signals."""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import signal
import sys
import time
from collections.abc import Mapping
from dataclasses import replace

import uvloop

from honeywharf.balancer import Balancer
from honeywharf.net import config
from honeywharf.net.clock import Clock
from honeywharf.net.connection_pool import ConnectionPool
from honeywharf.net.discovery import DiscoveryClient
from honeywharf.net.driver import Driver
from honeywharf.net.endpoint_directory import EndpointDirectory
from honeywharf.net.frontend import Frontend
from honeywharf.net.log import install_log_stream, log
from honeywharf.net.memory_budget import max_endpoints, split_message_memory
from honeywharf.net.overload_controller import OverloadController
from honeywharf.net.passing_errors import PASSING_START_ERRNOS
from honeywharf.net.resource_monitor import ResourceMonitor
from honeywharf.net.stats_reporter import StatsReporter
from honeywharf.policy.overload import OverloadManager, ResourceLimits

# The file descriptors are divided between the proxy itself, the connections to backends, and the clients.
# A request that is being served holds one descriptor for its client and one for its backend, so there can be
# about as many such requests as connections to backends. The deployment's terms let clients hold at most a
# third of the descriptors for requests; each such request needs a connection to a backend, so the share for
# these connections, 2/5, is more than that third. The remaining descriptors are for clients, including idle
# ones. The proxy itself needs some for the interpreter, the event loop, the listener and discovery, and some
# more to accept connections while others are closing.
OWN_DESCRIPTOR_SHARE = 1 / 10
MIN_OWN_DESCRIPTORS = 20
UPSTREAM_DESCRIPTOR_SHARE = 2 / 5
# After SIGTERM, the load balancer in front of the proxy opens new connections for up to 0.4 s. The listener
# stays open for longer, because a busy machine runs late.
LISTEN_AFTER_SIGTERM_S = 0.6
# Once the listener is closed, the accepted connections have this long to send their first request.
FIRST_REQUEST_GRACE_S = 0.5
# A drain lasts for the longest deadline of all classes, but at most for this time. SIGKILL follows no earlier
# than 0.7 s after its end.
MAX_DRAIN_MS = 3000.0
# This long after the end of the drain, the proxy sends error responses to the requests that are still open.
FAIL_AFTER_DRAIN_S = 0.45
# The process ends this long after those responses, or later if clients are slow to read them, but no later
# than MAX_FLUSH_MS after them.
FLUSH_S = 0.05
MAX_FLUSH_MS = 150.0
# A restarted proxy must be ready within 10 s, even on a busy machine, so it does not wait longer for a list.
FIRST_LIST_TIMEOUT_S = 5.0
STATS_INTERVAL_S = 5.0
# A start or a reload that fails for lack of a resource is tried again, a start for this time in total. A
# reload comes this long after its signal, as reading a long file takes time and signals come in series.
RETRY_INTERVAL_S = 0.05
START_RETRY_S = 5.0


class Proxy:
    """One running proxy with all its parts."""

    def __init__(self, configuration: config.Config, loop: asyncio.AbstractEventLoop) -> None:
        self.configuration, self.loop, self.clock = configuration, loop, Clock()
        max_sockets = min(configuration.max_sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        available = max_sockets - min(
            max(MIN_OWN_DESCRIPTORS, int(max_sockets * OWN_DESCRIPTOR_SHARE)), max_sockets // 2)
        max_upstream = min(int(max_sockets * UPSTREAM_DESCRIPTOR_SHARE), available // 2)
        client_memory, response_memory = split_message_memory(configuration.max_memory_bytes)
        self.pool = ConnectionPool(
            loop, self.clock, configuration.settings.limits, max_upstream, response_memory)
        self.driver = Driver(
            configuration.settings, Balancer(configuration.settings, configuration.seed), self.pool, loop,
            self.clock, configuration.configured_report_names)
        self.directory = EndpointDirectory(self.pool, max_endpoints(configuration.max_memory_bytes))
        self.discovery_client = DiscoveryClient(
            loop, self.clock, configuration.discovery, self.directory, self.driver.handle_discovery_event,
            balancer_requests_watches=configuration.settings.polled_discovery,
            rules=configuration.settings.rules)
        self.driver.discovery = self.discovery_client
        # The proxy is not ready until discovery has responded, because until then it sends nothing to the
        # endpoints of the cached list. After a timeout it becomes ready all the same, and the balancer
        # refuses the requests that it cannot send.
        self.frontend = Frontend(
            loop, self.clock, self.driver, available - max_upstream, client_memory,
            lambda: self.first_list_timed_out or self.discovery_client.initialized, self.driver.event_log)
        self.monitor = ResourceMonitor(loop, self.clock)
        self.overload = OverloadController(
            self.clock, self.monitor, OverloadManager(ResourceLimits(
                configuration.max_memory_bytes, max_sockets, self.frontend.max_connections)),
            self.frontend, self.pool)
        self.monitor.on_tick = self.overload.tick
        self.discovery_client.check_memory = self.frontend.check_memory = self.overload.check
        self.frontend.client_memory.on_growth = self.pool.response_memory.on_growth = self.overload.check
        self.stats = StatsReporter(
            self.driver, self.discovery_client, self.pool, self.frontend, self.monitor,
            max_memory_bytes=configuration.max_memory_bytes, max_descriptors=max_sockets)
        self.first_list_timed_out = False
        self.stopped = asyncio.Event()
        self.reload_timer: asyncio.TimerHandle | None = None  # of the next reload
        self.environ: Mapping[str, str] = os.environ

    async def run(self) -> None:
        """Serve until SIGTERM, and then until the drain has ended."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(signal_number, self.drain)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload_soon)
        cached_list = self.directory.apply_cached(self.configuration.cached_list)
        self.configuration = replace(self.configuration, cached_list={})  # it may be long
        # The cached list is expired until discovery has responded.
        self.driver.start(replace(cached_list, expires_at_ms=float("-inf")))
        host, port = self.frontend.listen(self.configuration.listen)
        log(f"{self.configuration.name} listens on {host}:{port}")
        self.discovery_client.start()
        self.loop.call_later(FIRST_LIST_TIMEOUT_S, self._on_first_list_timeout)
        self.monitor.start()
        self.loop.call_later(STATS_INTERVAL_S, self._report_stats)
        gc.collect()
        gc.freeze()  # the objects created so far are permanent, so the collector need not scan them
        gc.set_threshold(20000, 20, 50)
        await self.stopped.wait()
        log(f"stopped: {self.driver.open_request_count} open requests")

    def reload_soon(self) -> None:
        """Reload the configuration in a moment, once for all signals that come until then."""
        if self.reload_timer is None:
            self.reload_timer = self.loop.call_later(RETRY_INTERVAL_S, self.reload)

    def reload(self) -> None:
        """Apply a changed address of discovery from the configuration file. Nothing else changes."""
        self.reload_timer = None
        try:
            configuration = config.load(self.environ, with_cached_list=False)
        except OSError as error:
            log(f"reload: {error.strerror or error}; trying again")
            self.reload_soon()
            return
        except Exception as error:  # no error in the file may end a proxy in service
            log(f"reload: {error or type(error).__name__}; the current configuration stays")
            return
        old, self.configuration = (
            self.configuration, replace(self.configuration, discovery=configuration.discovery))
        if configuration.discovery != old.discovery:
            log(f"reload: discovery is now at {configuration.discovery[0]}:{configuration.discovery[1]}")
        if (configuration.listen, configuration.max_sockets, configuration.settings) != (
                old.listen, old.max_sockets, old.settings):
            log("reload: changes of listen, limits and settings take effect at the next start")
        self.discovery_client.change_address(configuration.discovery)

    def drain(self) -> None:
        """Start draining, as for a planned restart (see the documents DEPLOY and PROTOCOL).

        Requests that are still open some time after the end of the drain get an error response.
        """
        if self.frontend.draining:
            return
        connections = len(self.frontend.connections)
        log(f"drain: {self.driver.open_request_count} open requests, {connections} client connections")
        self.frontend.drain()
        longest_ms = max(cls.deadline_ms for cls in self.configuration.settings.classes)
        self.loop.call_later(LISTEN_AFTER_SIGTERM_S, self._close_listener)
        self.loop.call_later(
            min(longest_ms, MAX_DRAIN_MS) / 1000.0 + FAIL_AFTER_DRAIN_S, self._fail_open_requests)

    def _close_listener(self) -> None:
        self.frontend.stop_listening(self.stopped.set)
        self.loop.call_later(FIRST_REQUEST_GRACE_S, self.frontend.close_idle)

    def _fail_open_requests(self) -> None:
        """Send error responses to the open requests before the process exits, and refuse new requests."""
        self.frontend.refusing_requests = True
        self.driver.fail_open_requests()
        self.loop.call_later(FLUSH_S, self._stop_when_flushed, self.clock.now() + MAX_FLUSH_MS)

    def _stop_when_flushed(self, latest_ms: float) -> None:
        """Stop once all responses are written, or at `latest_ms`: what is unwritten by then is lost."""
        if self.frontend.has_unwritten_data() and self.clock.now() < latest_ms:
            self.loop.call_later(FLUSH_S / 5, self._stop_when_flushed, latest_ms)
        else:
            self.stopped.set()

    def _on_first_list_timeout(self) -> None:
        """Become ready. Otherwise a restart would take as long as discovery is down or its queue is full."""
        self.first_list_timed_out = True
        if not self.discovery_client.initialized:
            log(f"ready without a list, after {FIRST_LIST_TIMEOUT_S:.0f} s: discovery has not responded")

    def _report_stats(self) -> None:
        self.stats.report()
        self.loop.call_later(STATS_INTERVAL_S, self._report_stats)


async def serve(configuration: config.Config, early_signals: list[int]) -> None:
    """Run one proxy in the running event loop.

    `early_signals` holds the SIGHUP signals that were received before the event loop could handle them.
    """
    loop = asyncio.get_running_loop()

    def log_unhandled_error(_: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        log(f"event loop: {context.get('message')}: {context.get('exception')!r}")

    loop.set_exception_handler(log_unhandled_error)
    proxy = Proxy(configuration, loop)
    del configuration  # its cached list may be long
    if early_signals:
        loop.call_soon(proxy.reload)
    await proxy.run()


def main() -> int:
    """Run the proxy and return its exit status.

    The status is 0 after SIGTERM, and 2 if the configuration is invalid or the address is not available.
    """
    install_log_stream()
    early_signals: list[int] = []
    retry_until = time.monotonic() + START_RETRY_S
    while True:
        # Without this handler, a SIGHUP before the event loop has its own would end the process.
        signal.signal(signal.SIGHUP, lambda signal_number, _: early_signals.append(signal_number))
        try:
            uvloop.run(serve(config.load(), early_signals))
            return 0
        except (config.ConfigError, ValueError) as error:
            log(f"honeywharf: {error}")
            return 2
        except OSError as error:  # nothing is served yet: only a start raises such errors
            log(f"honeywharf: {error.strerror or error}")
            if error.errno not in PASSING_START_ERRNOS or time.monotonic() > retry_until:
                return 2
            time.sleep(RETRY_INTERVAL_S)


if __name__ == "__main__":
    sys.exit(main())
