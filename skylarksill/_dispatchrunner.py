"""Drives the dispatcher's core: executes its actions and passes it the outcomes."""

import dataclasses
import itertools

import eventlet
from eventlet import event

from skylarksill import dispatching, logs, messages, records, upstreams

TICK_S = 0.01
IDLE_TICK_S = 0.1
# A longer gap between two ticks means that the process was paused.
MAX_TICK_GAP_S = 0.5
LOAD_METRIC_INTERVAL_S = 1.0


class Runner:
    """Owns the Dispatcher, the sends in progress and the requests that wait for an outcome.

    Args:
      core: The dispatching.Dispatcher.
      clock: A clock with ``monotonic()`` and ``unix()``.
      metrics: A metrics.Metrics.
      log_level: Lowest level that is logged.

    Attributes:
      core: The Dispatcher.
      client: The UpstreamClient.
      forward: Function of a Forward that returns a ForwardEnded; set by the owner.
      report_suspect: Function of a messages.SuspectEntry; set by the owner.
      is_view_newer: Function of a time that returns True if the host's view is newer; set by the
        owner.
    """

    def __init__(self, core, clock, metrics, log_level="INFO"):
        self.core = core
        self.client = upstreams.UpstreamClient()
        self.forward = None
        self.report_suspect = lambda entry: None
        self.is_view_newer = lambda since: True
        self._clock = clock
        self._metrics = metrics
        self._log = logs.make_logger("dispatch")
        self._logs_decisions = log_level in ("DEBUG", "INFO")
        self._call_ids = itertools.count(1)
        self._results_by_request = {}
        self._active_sends = {}
        self._forward_threads = {}
        self._last_tick = clock.monotonic()
        self._paused_until = None
        self._tick_thread = None

    def start(self):
        """Starts the green thread that ticks the core."""
        self._last_tick = self._clock.monotonic()
        self._tick_thread = eventlet.spawn(self._tick)

    def stop(self):
        """Stops the ticks and closes idle connections."""
        self._tick_thread.kill()
        self.client.close()

    @property
    def request_count(self):
        """Number of requests that wait for their outcome."""
        return len(self._results_by_request)

    def list_requests(self):
        """Returns the ids of the requests that wait for their outcome."""
        return tuple(self._results_by_request)

    def run(self, request, context=None):
        """Runs a request and waits for its outcome.

        Args:
          request: The records.Request.
          context: The rpc.CallContext whose cancellation cancels the request, or None.
        Returns:
          A messages.DispatchResult.
        """
        if request.request_id in self._results_by_request:
            # The same request may arrive twice, for example from two entry processes.
            request_id = f"{request.request_id}.{next(self._call_ids)}"
            request = dataclasses.replace(request, request_id=request_id)
        result = event.Event()
        self._results_by_request[request.request_id] = result
        started = self._clock.monotonic()
        try:
            self.apply(dispatching.Arrived(request))
        except Exception:
            self._results_by_request.pop(request.request_id, None)
            raise
        if context is not None:
            context.on_cancel(lambda: self.apply(dispatching.Cancelled(request.request_id)))
        outcome = result.wait()
        self._metrics.time("latency", 1000 * (self._clock.monotonic() - started))
        self._metrics.count(f"verdict.{outcome.verdict.value}")
        return outcome

    def apply(self, core_event):
        """Passes an event to the core and executes the resulting actions.

        Returns:
          The GrantLoan of a LoanRequested, else None.
        """
        granted = None
        for action in self.core.handle(core_event, self._clock.monotonic()):
            if isinstance(action, dispatching.GrantLoan):
                granted = action
            else:
                self._execute_action(action)
        return granted

    def _execute_action(self, action):
        match action:
            case dispatching.Send():
                sending = self._active_sends[action.send_id] = upstreams.Sending()
                eventlet.spawn_n(self._send, action, sending)
            case dispatching.CancelSend():
                if action.send_id in self._active_sends:
                    self._active_sends[action.send_id].cancel()
            case dispatching.Reply():
                self._finish(
                    action.request_id,
                    messages.DispatchResult(
                        records.Verdict.RAN, action.answer, None, action.upstream
                    ),
                )
            case dispatching.Refuse():
                refusal = action.refusal
                self._finish(
                    action.request_id, messages.DispatchResult(refusal.verdict, None, refusal)
                )
            case dispatching.Forward():
                self._forward_threads[action.request.request_id] = eventlet.spawn(
                    self._run_forward, action
                )
            case dispatching.CancelForward():
                thread = self._forward_threads.pop(action.request_id, None)
                if thread is not None:
                    thread.kill()
            case dispatching.ReportSuspect():
                self.report_suspect(action.entry)
            case dispatching.LogDecision():
                self._log_decision(action)

    def _finish(self, request_id, result):
        result_event = self._results_by_request.pop(request_id, None)
        if result_event is not None:
            result_event.send(result)

    def _send(self, action, sending):
        now = self._clock.monotonic()
        deadline_unix_ms = 1000 * (self._clock.unix() + action.deadline - now)
        timeout_s = max(0.0, action.deadline - now) + records.MAX_CLOCK_SKEW_S
        try:
            outcome = self.client.send(
                action.upstream,
                action.request,
                deadline_unix_ms,
                timeout_s,
                lambda: self._may_send(action.send_id),
                sending,
            )
        except Exception:
            self._log.exception("send {} failed", action.send_id)
            verdict = records.Verdict.MAY_HAVE_RUN
            outcome = upstreams.Failed(verdict, "internal_error", has_run_ended=False)
        self._active_sends.pop(action.send_id, None)
        self.apply(_make_event(action.send_id, outcome))

    def _may_send(self, send_id):
        now = self._clock.monotonic()
        self._detect_pause(now)
        if self._paused_until is not None:
            if not self.is_view_newer(self._paused_until):
                return False
            self._paused_until = None
        return self.core.is_send_allowed(send_id, now)

    def _detect_pause(self, now):
        # During a pause, a new configuration may have given this dispatcher's slots to another.
        if now - self._last_tick > MAX_TICK_GAP_S:
            self._paused_until = now
            self._last_tick = now

    def _run_forward(self, action):
        ended = self.forward(action)
        self._forward_threads.pop(action.request.request_id, None)
        self.apply(ended)

    def _tick(self):
        reported_at = self._clock.monotonic()
        while True:
            eventlet.sleep(
                TICK_S if self._results_by_request or self._active_sends else IDLE_TICK_S
            )
            now = self._clock.monotonic()
            self._detect_pause(now)
            self._last_tick = now
            try:
                self.apply(dispatching.Ticked())
            except Exception:
                self._log.exception("tick failed")
            if now - reported_at >= LOAD_METRIC_INTERVAL_S:
                reported_at = now
                self._report_load(now)

    def _report_load(self, now):
        for load in self.core.describe_load(now):
            self._metrics.gauge(f"headroom.{load.service}", load.free)
            self._metrics.gauge(f"queued.{load.service}", load.queued)

    def _log_decision(self, action):
        if action.decision in ("send", "loan") and not action.is_long:
            self._metrics.time(f"queueing.short.{action.service}", action.waited_ms)
        if self._logs_decisions:
            self._log.info(
                "request={} service={} decision={} target={} waited_ms={}",
                action.request_id,
                action.service,
                action.decision,
                action.target,
                action.waited_ms,
            )


def _make_event(send_id, outcome):
    match outcome:
        case upstreams.Answered():
            return dispatching.Answered(send_id, outcome.answer, outcome.is_leaving)
        case upstreams.Failed():
            return dispatching.SendFailed(
                send_id,
                outcome.verdict,
                outcome.reason,
                outcome.has_upstream_died,
                outcome.has_run_ended,
                outcome.is_unreachable,
                outcome.is_shed,
                outcome.is_leaving,
            )
