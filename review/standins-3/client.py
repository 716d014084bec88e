"""Stand-ins for a client and for the operator."""

import http.client
import json
import time

NO_ANSWER = 0


def call(address, method, path, body=None, headers=None, timeout=5, text=None):
    """Returns the status and the body of the response; NO_ANSWER if there is no complete one."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        text = text if text is not None else json.dumps(body) if body is not None else None
        connection.request(method, path, text, {"content-type": "application/json", **(headers or {})})
        response = connection.getresponse()
        return response.status, response.read().decode(errors="replace")
    except (OSError, http.client.HTTPException):
        return NO_ANSWER, ""
    finally:
        connection.close()


def configuration(version, timeout_ms=1500, service="desk", routes=(("swap", 0), ("check", 1), ("rota", 2))):
    """A configuration like that of the small installations."""
    return {"version": version,
            "routes": [{"name": f"r-{name}", "host": "desk.example", "path_prefix": f"/{name}/", "kind": "unsafe", "timeout_ms": timeout_ms, "target_latency_ms": 60, "priority": priority,
                        "service": service, "max_attempts": 4, "stretch": 1.6} for name, priority in routes],
            "services": [{"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False, "enforces_capacity": False, "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def publish(record, control_addresses, document, within_seconds=20):
    """Sends a configuration until it is confirmed, as the operator does. Returns whether it was."""
    end = time.monotonic() + within_seconds
    attempt = 0
    while time.monotonic() < end:
        status, _ = call(control_addresses[attempt % len(control_addresses)], "PUT", "/api/config", document, timeout=2)
        if status == 200:
            record.write(f"configuration {document['version']} is confirmed")
            return True
        attempt += 1
        time.sleep(0.1)
    return False


def job(run_ms, count=1, cpu=27000, **step):
    return {"spec": f"run {run_ms} ms", "best_effort": True, "steps": [{"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": run_ms, **step}]}


def submit(record, address, queue, identity, body, deadline_ms, timeout=None):
    """Hands a job in once, and waits for its answer."""
    record.write(f"POST {queue}/{identity} to {address}")
    status, text = call(address, "POST", f"/{queue}/{identity}", body, {"host": "desk.example", "deadline-ms": str(deadline_ms)}, timeout=timeout or deadline_ms / 1000)
    record.write(f"POST {queue}/{identity} to {address}: {status if status else 'no answer'} {text[:80]}")
    return status


def wait_until(condition, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.02)
    return False
