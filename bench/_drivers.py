"""Drives one dispatcher of the product on the virtual time of the queueing model."""

from skylarksill import dispatching, records

LOAN_RENEWAL_S = 0.5


class DispatchDriver:
    """Carries out the actions of one Dispatcher.

    Args:
      fleet: The steered.Fleet that connects the drivers.
      host: The records.Host of the dispatcher.

    Attributes:
      is_alive: False while the host is lost; events are dropped then.
    """

    def __init__(self, fleet, host):
        self.host = host
        self.is_alive = True
        self._fleet = fleet
        self._simulator = fleet.simulator
        self._zone = host.zone_id
        self._ends = {}
        self._tokens = {}
        self._ticking_at = float("inf")
        self._start()

    def handle(self, event):
        """Passes an event to the dispatcher and carries out its actions."""
        if not self.is_alive:
            return
        for action in self.dispatcher.handle(event, self._simulator.now):
            self._carry_out(action)
        self._schedule_tick()

    def submit(self, request, job, on_end):
        """Takes a request.

        Args:
          request: The records.Request.
          job: Its queue_model.Job.
          on_end: Function of (answer, refusal, upstream) that is called at the end.
        """
        if not self.is_alive:
            return
        self._ends[request.request_id] = (job, on_end)
        self.handle(dispatching.Arrived(request))

    def cancel(self, request_id):
        """Gives a request up."""
        if request_id in self._ends:
            self.handle(dispatching.Cancelled(request_id))

    def fail(self):
        """Loses the host with all that it knows."""
        self.is_alive = False
        self._ends = {}
        self._tokens = {}

    def restart(self):
        """Starts a new incarnation."""
        self.is_alive = True
        self._start()

    def ask_loans(self):
        """Requests the slots of the standbys."""
        if not self.is_alive:
            return
        for standby, upstreams in self.dispatcher.list_loans_to_request().items():
            lender = self._fleet.drivers[standby]
            delay_s = self._fleet.compute_delay(self._zone, lender.host.zone_id)
            self._simulator.schedule(
                delay_s, lender.lend, tuple(upstreams), self, self._simulator.now, delay_s
            )

    def lend(self, upstreams, borrower, requested_at, delay_s):
        """Answers a borrower's request for slots."""
        if not self.is_alive:
            return
        request = dispatching.LoanRequested(upstreams, borrower.host.host_id)
        for action in self.dispatcher.handle(request, self._simulator.now):
            match action:
                case dispatching.GrantLoan():
                    granted = dispatching.LoanGranted(
                        action.upstreams, requested_at, action.duration_s
                    )
                    self._simulator.schedule(delay_s, borrower.handle, granted)
                case _:
                    self._carry_out(action)
        self._schedule_tick()

    def _start(self):
        now = self._simulator.now
        self.dispatcher = dispatching.Dispatcher(self.host.host_id, now)
        self.handle(dispatching.ConfigurationAccepted(self._fleet.configuration))

    def _carry_out(self, action):
        match action:
            case dispatching.Send():
                self._send(action)
            case dispatching.CancelSend():
                self._cancel_send(action.send_id)
            case dispatching.Reply():
                self._end(action.request_id, action.answer, None, action.upstream)
            case dispatching.Refuse():
                self._end(action.request_id, None, action.refusal, None)
            case dispatching.Forward():
                self._forward(action)
            case dispatching.CancelForward():
                self._end_forward_target(action.request_id)
            case _:
                pass

    def _end(self, request_id, answer, refusal, upstream):
        _, on_end = self._ends.pop(request_id)
        on_end(answer, refusal, upstream)

    def _send(self, send):
        job, _ = self._ends[send.request.request_id]
        upstream = self._fleet.upstreams[send.upstream.upstream_id]
        delay_s = self._fleet.compute_delay(self._zone, upstream.site.zone)
        self._simulator.schedule(delay_s, self._arrive, send, job, upstream, delay_s)

    def _arrive(self, send, job, upstream, delay_s):
        now = self._simulator.now
        if not self.is_alive:
            return
        if not self.dispatcher.is_send_allowed(send.send_id, now):
            failed = dispatching.SendFailed(send.send_id, records.Verdict.NOT_RUN, "too_late")
            self.handle(failed)
            return
        job.runs += 1
        self._fleet.note_start(job, upstream, self.host.host_id, now)

        def end():
            self._tokens.pop(send.send_id, None)
            self._fleet.note_end(upstream, self._simulator.now)
            answered = dispatching.Answered(send.send_id, self._fleet.answer)
            self._simulator.schedule(delay_s, self.handle, answered)

        work_s = self._fleet.compute_work(job, upstream, now)
        self._tokens[send.send_id] = (upstream, upstream.submit(work_s, end), delay_s)

    def _cancel_send(self, send_id):
        held = self._tokens.pop(send_id, None)
        if held is None:
            return
        upstream, token, delay_s = held
        self._simulator.schedule(delay_s, self._stop_run, send_id, upstream, token, delay_s)

    def _stop_run(self, send_id, upstream, token, delay_s):
        if not upstream.cancel(token):
            return
        self._fleet.note_end(upstream, self._simulator.now)
        failed = dispatching.SendFailed(send_id, records.Verdict.MAY_HAVE_RUN, "cancelled")
        self._simulator.schedule(delay_s, self.handle, failed)

    def _forward(self, forward):
        request = forward.request
        job, _ = self._ends[request.request_id]
        target = self._fleet.drivers[forward.host]
        delay_s = self._fleet.compute_delay(self._zone, target.host.zone_id)

        def end(answer, refusal, upstream):
            ended = dispatching.ForwardEnded(request.request_id, answer, refusal, upstream)
            self._simulator.schedule(delay_s, self.handle, ended)

        self._fleet.forwards[request.request_id] = target
        self._fleet.forward_count += 1
        self._simulator.schedule(delay_s, target.submit, request, job, end)

    def _end_forward_target(self, request_id):
        target = self._fleet.forwards.pop(request_id, None)
        if target is not None:
            delay_s = self._fleet.compute_delay(self._zone, target.host.zone_id)
            self._simulator.schedule(delay_s, target.cancel, request_id)

    def _schedule_tick(self):
        due = self.dispatcher.find_next_timer()
        now = self._simulator.now
        if due is None or due >= self._ticking_at:
            return
        self._ticking_at = due
        self._simulator.schedule(max(0.0, due - now), self._tick, due)

    def _tick(self, due):
        if due == self._ticking_at:
            self._ticking_at = float("inf")
            self.handle(dispatching.Ticked())
