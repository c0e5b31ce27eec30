"""Fault matrix: every invariant under every fault, on the real decision modules.

Usage: ``python -m bench.faults [--plant RULE] [--row ROW] [--seed S]``. A cell is red if any of
the fault's steps violates the invariant; "kr" marks a cell that KNOWN-RED.txt
lists, "-" a fault that cannot be triggered in the scenario.
"""

import argparse
import concurrent.futures
import pathlib
import sys

from bench import _faults, _plants, _rows, _shares

PROCESSES = 4
KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
MARKS = {"held": "ok", "red": "RED", "known": "kr", "absent": "-"}
MAX_PRINTED_VIOLATIONS = 3


def run_column(run_name, fault_name, seed):
    """Runs all steps of one fault in one scenario.

    Args:
      run_name: Name of the scenario's function.
      fault_name: Name of the column.
      seed: Seed of the network's delays.
    Returns:
      A dict of row name to a list of violations; empty if the fault could not be triggered.
    """
    fault = next(fault for fault in _faults.ALL if fault.name == fault_name)
    rows = [row for row in _rows.ROWS if row.run.__name__ == run_name]
    violations_by_row = {}
    for step in _list_steps(rows[0].run, fault, seed):
        deployment = rows[0].run(fault, step, seed=seed)
        if not deployment.has_struck or not _is_resend_supported(fault, run_name):
            continue
        for row in rows:
            violations = [f"{step}: {text}" for text in row.judge(deployment)]
            violations_by_row.setdefault(row.name, []).extend(violations)
    return violations_by_row


def _list_steps(run, fault, seed):
    if fault.steps is not None:
        return fault.steps
    fault_free = run(_faults.NONE, None, seed=seed)
    return _faults.list_steps(fault_free.world.sent[fault_free.sent_before :], fault_free.kinds)


def _is_resend_supported(fault, run_name):
    return not fault.resend or run_name == "run_orders"


def run_matrix(rows, seed, plant=None):
    """Runs all cells of the rows.

    Returns:
      A dict of (row name, fault name) to a list of violations; cells that cannot fail are absent.
    """
    run_names = sorted({row.run.__name__ for row in rows})
    names = {row.name for row in rows}
    cells = {}
    with concurrent.futures.ProcessPoolExecutor(
        PROCESSES, initializer=_plants.apply_plant, initargs=(plant,)
    ) as pool:
        futures = {
            (run_name, fault.name): pool.submit(run_column, run_name, fault.name, seed)
            for run_name in run_names
            for fault in _faults.ALL
        }
        for (_, fault_name), future in futures.items():
            for row_name, violations in future.result().items():
                if row_name in names:
                    cells[row_name, fault_name] = violations
    return cells


def read_known_red():
    """Returns the cells (row name, fault name) that KNOWN-RED.txt lists for this command.

    Its lines have the form "faults: ROW / FAULT, FAULT | command | what was seen | issue".
    """
    if not KNOWN_RED.exists():
        return set()
    cells = set()
    for line in KNOWN_RED.read_text(encoding="utf-8").splitlines():
        command, _, rest = line.partition(": ")
        row, _, names = rest.partition(" | ")[0].partition(" / ")
        if command == "faults":
            cells.update((row, name.strip()) for name in names.split(","))
    return cells


def judge_cells(cells, known):
    """Returns a dict of cell to "held", "red" or "known"."""
    states = {}
    for (row, fault), violations in cells.items():
        red = "known" if (row, fault) in known else "red"
        states[row, fault] = red if violations else "held"
    return states


def print_matrix(rows, cells, states):
    """Prints one line per row and one column per fault, then the violations."""
    for number, fault in enumerate(_faults.ALL, start=1):
        print(f"{number:3} {fault.name}")
    width = max(len(row.name) for row in rows)
    print(" " * width + "".join(f"{number:5}" for number in range(1, len(_faults.ALL) + 1)))
    for row in rows:
        marks = [MARKS[states.get((row.name, fault.name), "absent")] for fault in _faults.ALL]
        print(row.name.ljust(width) + "".join(f"{mark:>5}" for mark in marks))
    for (row, fault), violations in cells.items():
        for violation in violations[:MAX_PRINTED_VIOLATIONS]:
            print(f"{states[row, fault]}: {row} / {fault}: {violation}")


def main():
    """Prints the matrix; exits with 1 if a cell is red that KNOWN-RED.txt does not list."""
    arguments = _parse_arguments()
    rows = [row for row in _rows.ROWS if arguments.row in ("", row.name)]
    cells = run_matrix(rows, arguments.seed, arguments.plant)
    states = judge_cells(cells, read_known_red())
    print_matrix(rows, cells, states)
    if not arguments.plant and not arguments.row:
        _shares.print_shares(arguments.seed)
    counts = {state: list(states.values()).count(state) for state in ("held", "red", "known")}
    print(
        f"faults: cells={len(states)} held={counts['held']} red={counts['red']} "
        f"known_red={counts['known']}"
    )
    sys.exit(1 if counts["red"] else 0)


def _parse_arguments():
    parser = argparse.ArgumentParser(prog="python -m bench.faults")
    parser.add_argument("--plant", choices=sorted(_plants.PLANTS), help="rule to replace")
    parser.add_argument("--row", default="", choices=["", *(row.name for row in _rows.ROWS)])
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


if __name__ == "__main__":
    main()
