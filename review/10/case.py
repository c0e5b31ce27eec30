"""An entry of another writer holds bytes that can't be read, and no restarted host serves again."""

import pathlib
import socket
import threading
import time

import deployment

BEFORE_S = 6.0
DOWN_S = 1.0
# Bound `recovery` of the deployment.
RECOVERY_S = 15.0
AFTER_S = 10.0
PAUSE_S = 0.1
DEADLINE_MS = 2_000
# The entry's text, and the bytes in its place: an e with an accent in Latin-1, which is no UTF-8.
TEXT = "written-by-another-program"
RAW = '"caf'.encode() + b"\xe9" + b'"'


def play(record, has_trouble):
    def run(method, target, headers, body):
        time.sleep(0.02)
        return b"found"

    system = deployment.Deployment(record)
    try:
        workers = [deployment.Worker(record, f"i-{number}", run) for number in range(3)]
        system.start_store("--raw", TEXT, RAW.hex())
        route = deployment.make_route("/catalogue/", "idempotent", "catalogue", 1000, 400)
        system.write_configuration(7, {"r-read": route}, ["catalogue"])
        for worker in workers:
            system.write("servers", worker.name, worker.describe("catalogue"))
        system.start_hosts()
        if has_trouble:
            entry = {**workers[0].describe("catalogue"), "service": TEXT}
            system.write("servers", "of-another-writer", entry)
        before = send_requests(record, system, BEFORE_S, "before")
        for index in range(len(system.ips)):
            system.kill_host(index)
        time.sleep(DOWN_S)
        for index in range(len(system.ips)):
            system.start_host(index)
        time.sleep(RECOVERY_S)
        ready = [system.is_ready(index) for index in range(len(system.ips))]
        record.write(f"ready {RECOVERY_S} s after they are back: {ready}")
        after = send_requests(record, system, AFTER_S, "after")
        lines = [line for line in system.read_log(0).splitlines() if '"store.' in line]
        for line in lines[-3:]:
            record.write(f"host 0 logs {line[:600]}")
    finally:
        system.stop()
    record.write(f"share of requests served before the fault {before:.2f}, after it {after:.2f}")
    if before < 0.25:
        raise deployment.CannotRunError("the deployment hasn't served before the fault")
    return after >= 0.25


def send_requests(record, system, seconds, phase):
    """Sends requests to the hosts in turn; returns the share that is served."""
    statuses = []
    threads = []
    end = time.monotonic() + seconds
    number = 0
    while time.monotonic() < end:
        address = system.entry(number % len(system.ips))
        request_id = f"{phase}{number:010d}"
        threads.append(
            threading.Thread(target=send_request, args=(record, address, request_id, statuses))
        )
        threads[-1].start()
        number += 1
        time.sleep(PAUSE_S)
    for thread in threads:
        thread.join()
    return sum(status == 200 for status in statuses) / len(statuses)


def send_request(record, address, request_id, statuses):
    status = None
    try:
        with socket.create_connection(address, 1.0) as client:
            client.sendall(
                deployment.format_request(
                    "GET", f"/catalogue/{request_id}", request_id, DEADLINE_MS
                )
            )
            until = time.monotonic() + DEADLINE_MS / 1000
            answer = deployment.AnswerReader(client).read(until)
            status = answer and answer[0]
    except (OSError, EOFError) as error:
        record.write(f"connection of {request_id} ended: {error!r}")
    record.write(f"{request_id}: {status}")
    statuses.append(status)


if __name__ == "__main__":
    deployment.run_case(pathlib.Path(__file__).parent, play)
