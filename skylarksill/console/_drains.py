"""Commands that drain targets and shift clients, with a preview of the remaining capacity."""

import dataclasses

from cleo import helpers
from cleo.ui import confirmation_question

from skylarksill import drains, records
from skylarksill.console import _command

CHANGE_OPTIONS = [
    *_command.SETTINGS_OPTIONS,
    helpers.option("yes", "y", "Does not ask before the change."),
    helpers.option("force", None, "Makes the change although the rest cannot carry the load."),
    helpers.option("dry-run", None, "Prints the preview only."),
]
KIND_NAMES = ", ".join(kind.value for kind in drains.TargetKind)


class _ChangeCommand(_command.ConsoleCommand):
    """Base class of commands that preview a change and publish it once it is confirmed."""

    def confirm_change(self, shortfalls):
        """Asks the operator to confirm the change, unless an option decides.

        Args:
          shortfalls: Texts that say why the remaining capacity is too small for the load.
        Returns:
          True if the change is to be published, False for a dry run.
        Raises:
          CommandError: If there are shortfalls and ``--force`` is not given, or if the operator
            does not confirm the change.
        """
        for shortfall in shortfalls:
            self.write_error(f"headroom: {shortfall}")
        if self.option("dry-run"):
            return False
        if shortfalls and not self.option("force"):
            reason = "nothing was changed; --force makes the change anyway"
            raise _command.CommandError(_command.EXIT_PROBLEMS, reason)
        if self.option("yes") or self.ask_question(_make_question()):
            return True
        reason = "nothing was changed; --yes makes the change without confirmation"
        raise _command.CommandError(_command.EXIT_PROBLEMS, reason)

    def read_loads(self):
        """Returns the loads in the agent's view, or an empty tuple if the agent doesn't answer."""
        try:
            return self.ask_status()[0].loads
        except _command.CommandError as error:
            self.write_error(f"load is unknown: {error}")
            return ()

    def show_headrooms(self, headrooms):
        """Prints a table of the slots and headroom before and after the change."""
        rows = [
            [
                row.region,
                row.service,
                str(row.slots_before),
                str(row.slots_after),
                "-" if row.in_flight is None else str(row.in_flight),
                "-" if row.free_after is None else str(row.free_after),
                "-" if row.age_ms is None else f"{row.age_ms / 1000:.1f} s",
            ]
            for row in headrooms
        ]
        headers = ["region", "service", "slots now", "slots after", "in use", "headroom", "age"]
        self.render_table(headers, rows, style="compact")


def _make_question():
    return confirmation_question.ConfirmationQuestion("Make this change?", default=False)


class DrainCommand(_ChangeCommand):
    """Drains an upstream, host, zone or region, or returns it to service."""

    name = "drain"
    description = "Takes an upstream, host, zone or region out of service, or back with --undo."
    arguments = [
        helpers.argument("kind", f"One of {KIND_NAMES}."),
        helpers.argument("name", "Its name in the configuration."),
    ]
    options = [*CHANGE_OPTIONS, helpers.option("undo", None, "Returns it to service.")]

    def run_command(self):
        """Shows the remaining headroom and publishes the changed states."""
        target = self._read_target()
        state = (
            records.LifecycleState.SERVING
            if self.option("undo")
            else records.LifecycleState.LEAVING
        )
        store = self.open_store()
        base = self.require_published(store)
        try:
            preview = drains.preview_drain(base.configuration, target, self.read_loads(), state)
        except drains.UnknownTargetError as error:
            raise _command.CommandError(_command.EXIT_PROBLEMS, str(error)) from error
        if not preview.changed:
            self.write_text(f"{target.kind.value} {target.name} is {state.value} already")
            return
        self.write_text(f"{state.value}: {', '.join(preview.changed)}")
        self.show_headrooms(preview.headrooms)
        # A return to service only adds slots, so a remaining lack of headroom does not prevent it.
        if not self.confirm_change(() if self.option("undo") else preview.shortfalls):
            return
        subject = f"{state.value} {target.kind.value} {target.name}"
        generation = self.publish(store, base, preview.configuration, subject)
        self.write_text(f"generation {generation} is in the store")

    def _read_target(self):
        try:
            kind = drains.TargetKind(self.argument("kind"))
        except ValueError:
            reason = f"{self.argument('kind')!r} is not one of {KIND_NAMES}"
            raise _command.CommandError(_command.EXIT_PROBLEMS, reason) from None
        return drains.Target(kind, self.argument("name"))


class ShiftCommand(_ChangeCommand):
    """Adds or replaces a planned shift of clients, or ends it."""

    name = "shift"
    description = "Sends a share of a region's clients to another region, or ends that."
    arguments = [
        helpers.argument("name", "Name of the shift."),
        helpers.argument("source", "Region whose clients move.", optional=True),
        helpers.argument("target", "Region that they move to.", optional=True),
        helpers.argument("percent", "Share of the clients in percent.", optional=True),
    ]
    options = [*CHANGE_OPTIONS, helpers.option("undo", None, "Ends the shift.")]

    def run_command(self):
        """Shows the target region's cap and headroom and publishes the changed shifts."""
        store = self.open_store()
        base = self.require_published(store)
        current = base.configuration
        other_shifts = tuple(item for item in current.shifts if item.name != self.argument("name"))
        if self.option("undo"):
            self._check_exists(current, other_shifts)
            shifts, shortfalls = other_shifts, ()
        else:
            planned = self._read_shift()
            shifts = (*other_shifts, planned)
            shortfalls = self._preview_target(current, planned)
        if not self.confirm_change(shortfalls):
            return
        changed = dataclasses.replace(current, shifts=shifts)
        verb = "end shift" if self.option("undo") else "shift"
        generation = self.publish(store, base, changed, f"{verb} {self.argument('name')}")
        self.write_text(f"generation {generation} is in the store")

    def _check_exists(self, current, other_shifts):
        if len(other_shifts) == len(current.shifts):
            reason = f"shift {self.argument('name')!r} is not configured"
            raise _command.CommandError(_command.EXIT_PROBLEMS, reason)

    def _read_shift(self):
        values = [self.argument(key) for key in ("name", "source", "target", "percent")]
        if None in values or not values[3].isdecimal():
            reason = "a source, a target and a whole percentage are required"
            raise _command.CommandError(_command.EXIT_PROBLEMS, reason)
        return records.Shift(*values[:3], int(values[3]))

    def _preview_target(self, current, planned):
        """Prints the target's cap and headroom.

        Returns:
          A text for each service for whose shifted load the target has too few free slots.
        """
        caps = {region.region_id: region.shift_cap_per_s for region in current.regions}
        self.write_text(
            f"{planned.target} takes at most {caps.get(planned.target, 0)} requests/s of clients "
            "of other regions, planned shifts and failover together"
        )
        rows = drains.compare_headroom(current, current, self.read_loads())
        self.show_headrooms([row for row in rows if row.region in (planned.source, planned.target)])
        shifted_load = {
            row.service: (row.in_flight or 0) * planned.percent / 100
            for row in rows
            if row.region == planned.source
        }
        return [
            f"{row.service} has {row.free_after} slots left in {row.region}, "
            f"about {shifted_load[row.service]:.0f} are needed"
            for row in rows
            if row.region == planned.target
            and row.free_after is not None
            and row.free_after < shifted_load.get(row.service, 0)
        ]
