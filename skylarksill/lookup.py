"""Lookup daemon, which gives clients their ranked entry hosts."""

import os
import urllib.parse

import eventlet

from skylarksill import (
    _httpserver,
    _lookupanswers,
    _steeringsource,
    logs,
    metrics,
    records,
    viewer,
)

LOOKUP_PATH = "/v1/lookup"
DRAIN_S = 1.0

_CONTENT_TYPE_HEADER = ("Content-Type", "application/json")


class LookupDaemon:
    """Serves ``GET /v1/lookup``.

    Args:
      settings: The host's Settings.
      clock: A clock with ``monotonic()``, ``unix()`` and ``sleep(s)``.
      view_source: Replaces the AgentViewClient of the host's agent in tests.

    Attributes:
      source: The SteeringSource with the table in force.
    """

    def __init__(self, settings, clock, view_source=None):
        self._settings = settings
        self._clock = clock
        self._log = logs.make_logger("lookup")
        self._logs_decisions = settings.log_level in ("DEBUG", "INFO")
        self._metrics = metrics.MetricBuffer(metrics.Metrics("lookup", settings.statsd))
        self._answers = _lookupanswers.AnswerBuilder(
            settings.shared_key, settings.zone, lambda: os.urandom(16).hex()
        )
        self.source = _steeringsource.SteeringSource(
            clock, "lookup", self._answers.clear_cache, self._metrics.flush
        )
        self._viewer = view_source or viewer.AgentViewClient(
            settings, clock, "lookup", os.urandom(8).hex(), self.source.accept_configuration
        )
        self.source.set_viewer(self._viewer)
        self._server = None
        self._refresh_thread = None
        self._in_flight = 0

    def start(self):
        """Starts serving.

        Returns:
          The IP address and port that the daemon listens on.
        """
        address = (self._settings.address, self._settings.lookup_port)
        self._server = _httpserver.HttpServer(address, self.serve)
        self._viewer.start()
        self._refresh_thread = eventlet.spawn(self.source.run)
        self._server.start()
        return self._server.address

    def leave(self):
        """Publishes the leaving state, continues to serve for DRAIN_S and stops."""
        self._viewer.state = records.LifecycleState.LEAVING
        self._viewer.request_poll()
        self._log.info("leaving")
        self._clock.sleep(DRAIN_S)
        self._server.stop()
        self._refresh_thread.kill()
        self._viewer.stop()
        self._metrics.flush()

    def describe_in_flight(self):
        """Returns a text with the number of lookups in progress."""
        return f"{self._in_flight} lookups"

    def serve(self, environ, start_response):
        """Serves one HTTP request as the WSGI application."""
        start = self._clock.monotonic()
        self._in_flight += 1
        try:
            status, body = self._answer_safely(environ, start)
        finally:
            self._in_flight -= 1
        headers = [_CONTENT_TYPE_HEADER, ("Content-Length", str(len(body)))]
        if status == 405:
            headers.append(("Allow", "GET"))
        start_response(_httpserver.format_status(status), headers)
        self._metrics.count(f"status.{status}")
        self._metrics.time("answer", 1000 * (self._clock.monotonic() - start))
        return [body]

    def _answer_safely(self, environ, now):
        try:
            return 200, self._answer(environ, now)
        except _lookupanswers.LookupFailedError as error:
            self._log_refusal(environ, error)
            return error.status, _httpserver.format_refusal(error.refusal)
        except Exception:
            self._log.exception("lookup failed")
            refusal = records.Refusal(
                records.Verdict.NOT_RUN, "internal_error", "the look-up failed; see the log"
            )
            return 500, _httpserver.format_refusal(refusal)

    def _answer(self, environ, now):
        if environ["PATH_INFO"] != LOOKUP_PATH:
            raise _lookupanswers.LookupFailedError(
                404, "unknown_path", f"only {LOOKUP_PATH} exists"
            )
        if environ["REQUEST_METHOD"] != "GET":
            raise _lookupanswers.LookupFailedError(405, "bad_method", "only GET is allowed")
        service, client = _parse_query(environ)
        answer = self._answers.make_answer(
            self.source.table, self.source.view, service, client, now, self._clock.unix()
        )
        if self._logs_decisions:
            self._log_answer(service, client, answer)
        self._metrics.count(f"cause.{answer.ranking.cause.value}")
        return answer.body

    def _log_answer(self, service, client, answer):
        ranking = answer.ranking
        ticket = answer.ticket
        self._log.info(
            "service={} client={} zone={} region={} cause={} first={} hosts={} home={} arbiter={}",
            service,
            client,
            ranking.zone,
            ranking.target,
            ranking.cause.value,
            ranking.hosts[0].host_id,
            len(ranking.hosts),
            ticket and ticket.home,
            ticket and ticket.arbiter,
        )

    def _log_refusal(self, environ, error):
        if self._logs_decisions:
            self._log.info("client={} refused {}", environ.get("REMOTE_ADDR"), error)


def _parse_query(environ):
    """Returns service and client; the default client is the address that sent the request."""
    values = {"client": environ.get("REMOTE_ADDR", "")}
    pairs = urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""), keep_blank_values=True)
    seen = set()
    for name, value in pairs:
        if name not in ("service", "client"):
            raise _lookupanswers.LookupFailedError(
                400, "bad_parameter", f"unknown parameter {name!r}"
            )
        if name in seen:
            raise _lookupanswers.LookupFailedError(400, "bad_parameter", f"{name} is given twice")
        seen.add(name)
        values[name] = value
    if not values.get("service"):
        raise _lookupanswers.LookupFailedError(400, "bad_parameter", "service is missing")
    return values["service"], values["client"]
