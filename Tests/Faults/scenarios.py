"""The fault scenarios. Each gets a running deployment, induces its failure, and says what it saw besides the checks."""

import os
import shutil
import signal
import threading

from deployment import HOSTS, REPLICAS, wait_until


def kill_leader(d):
    d.load()
    leader = d.leader()
    d.kill(leader)
    wait_until(lambda: d.leader([name for name in REPLICAS if name != leader]), "another leader is elected")
    d.start_host(leader)
    wait_until(lambda: d.status(leader)["ledger"].get("leader"), "the former leader follows")
    return d.finish_load()


def kill_job_owner_and_dispatcher(d):
    d.load()
    victim = d.followers()[0]
    wait_until(lambda: d.status(victim)["jobsOwned"] > 0, "the host owns a job")
    d.kill(victim)
    d.wait_for_answers(100)
    d.start_host(victim)
    return d.finish_load()


def kill_plain_entry(d):
    d.load()
    d.kill("katutura-2")
    d.wait_for_answers(100)
    d.start_host("katutura-2")
    return d.finish_load()


def kill_worker_process(d):
    d.load()
    d.kill("workers-khomasdal")
    d.wait_for_answers(100)
    d.start_targets("workers", 2)
    return d.finish_load()


def stop_leader_past_its_lease(d):
    d.load()
    leader = d.leader()
    d.signal(leader, signal.SIGSTOP)
    wait_until(lambda: d.leader([name for name in REPLICAS if name != leader]), "another leader is elected")
    d.signal(leader, signal.SIGCONT)
    wait_until(lambda: not d.status(leader)["ledger"]["leads"], "the former leader has stepped down")
    return d.finish_load()


def lose_a_disk_and_then_a_second_host(d):
    def is_voter(name):
        members = d.status(d.leader())["ledger"]["members"]
        identity = d.status(name)["ledger"]["identity"]
        return any(member["identity"] == identity and member["voter"] for member in members) and len(members) == 3

    d.load()
    first = d.followers()[0]
    former = d.status(first)["ledger"]["identity"]
    d.kill(first)
    shutil.rmtree(f"{d.folder}/{first}")
    d.start_host(first)
    wait_until(lambda: is_voter(first) and d.status(first)["ledger"]["identity"] != former, "the repaired replica is a voter under a new identity")
    second = [name for name in REPLICAS if name not in (first, d.leader())][0]
    d.kill(second)
    shutil.rmtree(f"{d.folder}/{second}")
    version = d.status(first)["configurationVersion"]
    wait_until(lambda: d.put_configuration(first, version, "after-the-second-loss")[0] == 200, "a change is accepted by those that are left")
    d.start_host(second)
    wait_until(lambda: is_voter(second), "the second replica is repaired")
    return d.finish_load()


def cut_off_a_domain(d):
    d.load()
    d.relay.cut(d.links_of("windhoek-west-1"))
    wait_until(lambda: not d.status("windhoek-west-1")["hosts"]["khomasdal-1"]["alive"], "the domain notices that it is alone")
    d.load("alone", "2s", d.entries_of(["windhoek-west-1"]), "0.5")
    alone = d.finish_load("alone")
    d.relay.heal(d.links_of("windhoek-west-1"))
    wait_until(lambda: d.status("windhoek-west-1")["hosts"]["khomasdal-1"]["alive"], "the domain is back")
    share = alone["answered"] / max(1, alone["requests"])
    assert share == 1, f"only {share:.0%} of the requests to a domain that is cut off were served by its own targets"
    result = d.finish_load()
    result["served_while_cut_off"] = share
    return result


def isolate_the_leader_while_operators_publish(d):
    leader = d.leader()
    others = [name for name in REPLICAS if name != leader]
    version = d.status(leader)["configurationVersion"]
    d.load()
    d.relay.silence(d.links_of(leader))
    inside = []
    isolated = threading.Thread(target=lambda: inside.append(d.put_configuration(leader, version, "inside", "inside", 20)))
    isolated.start()
    wait_until(lambda: d.leader(others), "another leader is elected")
    wait_until(lambda: d.put_configuration(others[0], version, "outside", "outside")[0] == 200, "the other side accepts a change")
    isolated.join()
    assert inside[0][0] != 200, f"the isolated leader accepted a change: {inside[0]}"
    d.relay.heal(d.links_of(leader))
    wait_until(lambda: d.status(leader)["configurationVersion"] >= version + 1, "the former leader has the version of the others")
    history = d.get(d.leader(), "/v1/configuration/history")
    assert any(entry["author"] == "outside" for entry in history)
    return d.finish_load()


def restart_five_hundred_changes_behind(d):
    victim = d.followers()[0]
    d.kill(victim)
    others = [name for name in REPLICAS if name != victim]
    leader = d.leader(others)
    version = d.status(leader)["configurationVersion"]
    for number in range(500):
        status, body = d.put_configuration(leader, version + number, f"change-{number}")
        assert status == 200, body
    d.start_host(victim)
    wait_until(lambda: d.status(victim)["configurationVersion"] == version + 500, "the host is up to date", 10)
    d.load(duration="2s")
    return d.finish_load()


def silence_open_connections(d):
    d.load()
    d.relay.silence_open_connections(list(d.relay.links))
    d.wait_for_answers(200)
    return d.finish_load()


def race_equal_versions(d):
    """Two operators publish a hundred times on equal versions: each time one wins, and the other is told by whom."""
    version = d.status("katutura-1")["configurationVersion"]
    for number in range(100):
        results = {}

        def publish(author, host):
            results[author] = d.put_configuration(host, version, f"{author}-{number}", author)

        threads = [threading.Thread(target=publish, args=arguments) for arguments in (("eva", "katutura-1"), ("ana", "khomasdal-1"))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        statuses = sorted(status for status, _ in results.values())
        assert statuses == [200, 409], f"round {number}: {results}"
        winner = next(author for author, (status, _) in results.items() if status == 200)
        loser = next(body for status, body in results.values() if status == 409)
        assert loser["author"] == winner and loser["version"] == version + 1, loser
        # A change that is sent again gets its first answer.
        assert d.put_configuration("windhoek-west-1", version, f"{winner}-{number}", winner) == results[winner]
        version += 1
    d.load(duration="2s")
    return d.finish_load()


def terminate_with_requests_in_progress(d):
    d.load()
    victim = d.followers()[0]
    wait_until(lambda: d.status(victim)["requestsInProgress"] > 0, "requests are in progress")
    # The balancer takes a host that is not ready out of its rotation; the load goes on with the others.
    d.load("victim", "1s", d.entries_of([victim]), "0.3")
    d.signal(victim, signal.SIGTERM)
    code = d.processes.pop(victim).wait(40)
    assert code == 0, f"exit code {code}"
    result = d.finish_load("victim")
    assert result["unknown"] == 0, f"the shutdown cut off {result['unknown']} requests or jobs"
    d.start_host(victim)
    finished = d.finish_load()
    finished["answered_while_leaving"] = result["answered"]
    return finished


ALL = [kill_leader, kill_job_owner_and_dispatcher, kill_plain_entry, kill_worker_process, stop_leader_past_its_lease, lose_a_disk_and_then_a_second_host,
       cut_off_a_domain, isolate_the_leader_while_operators_publish, restart_five_hundred_changes_behind, silence_open_connections, race_equal_versions,
       terminate_with_requests_in_progress]
