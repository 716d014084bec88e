"""The fault scenarios.

Each scenario takes a running deployment, puts it under load, and induces one failure. It returns the results of the load
generator, with further measurements where it has any; an unmet expectation raises an AssertionError.
"""

import os
import shutil
import signal
import threading

from deployment import HOSTS, REPLICAS, wait_until


def kill_leader(deployment):
    deployment.start_load()
    leader = deployment.leader()
    deployment.kill(leader)
    wait_until(lambda: deployment.leader([name for name in REPLICAS if name != leader]), "another leader is elected")
    deployment.start_host(leader)
    wait_until(lambda: deployment.status(leader)["ledger"].get("leader"), "the restarted host knows a leader")
    return deployment.finish_load()


def kill_job_owner_and_dispatcher(deployment):
    deployment.start_load()
    victim = deployment.followers()[0]
    wait_until(lambda: deployment.status(victim)["jobsOwned"] > 0, "the host owns at least one job")
    deployment.kill(victim)
    deployment.wait_for_answers(100)
    deployment.start_host(victim)
    return deployment.finish_load()


def kill_plain_entry(deployment):
    # katutura-2 is an entry host without a replica of the ledger.
    deployment.start_load()
    deployment.kill("katutura-2")
    deployment.wait_for_answers(100)
    deployment.start_host("katutura-2")
    return deployment.finish_load()


def kill_worker_process(deployment):
    deployment.start_load()
    deployment.kill("workers-khomasdal")
    deployment.wait_for_answers(100)
    deployment.start_targets("workers", 2)
    return deployment.finish_load()


def stop_leader_past_its_lease(deployment):
    deployment.start_load()
    leader = deployment.leader()
    deployment.send_signal(leader, signal.SIGSTOP)
    wait_until(lambda: deployment.leader([name for name in REPLICAS if name != leader]), "another leader is elected")
    deployment.send_signal(leader, signal.SIGCONT)
    wait_until(lambda: not deployment.status(leader)["ledger"]["leads"], "the former leader has stepped down")
    return deployment.finish_load()


def lose_a_disk_and_then_a_second_host(deployment):
    def is_voter(name):
        members = deployment.status(deployment.leader())["ledger"]["members"]
        identity = deployment.status(name)["ledger"]["identity"]
        return any(member["identity"] == identity and member["voter"] for member in members) and len(members) == 3

    deployment.start_load()
    first_victim = deployment.followers()[0]
    former_identity = deployment.status(first_victim)["ledger"]["identity"]
    deployment.kill(first_victim)
    shutil.rmtree(f"{deployment.folder}/{first_victim}")
    deployment.start_host(first_victim)
    wait_until(lambda: is_voter(first_victim) and deployment.status(first_victim)["ledger"]["identity"] != former_identity, "the repaired replica is a voter under a new identity")
    second_victim = [name for name in REPLICAS if name not in (first_victim, deployment.leader())][0]
    deployment.kill(second_victim)
    shutil.rmtree(f"{deployment.folder}/{second_victim}")
    version = deployment.status(first_victim)["configurationVersion"]
    wait_until(lambda: deployment.put_configuration(first_victim, version, "after-the-second-loss")[0] == 200, "the remaining replicas accept a change")
    deployment.start_host(second_victim)
    wait_until(lambda: is_voter(second_victim), "the second replica is a voter again")
    return deployment.finish_load()


def cut_off_a_domain(deployment):
    deployment.start_load()
    deployment.relay.disconnect(deployment.links_of("windhoek-west-1"))
    wait_until(lambda: not deployment.status("windhoek-west-1")["hosts"]["khomasdal-1"]["alive"], "the isolated host sees a host of another domain as not alive")
    deployment.start_load("alone", "2s", deployment.entries_of(["windhoek-west-1"]), "0.5")
    alone_result = deployment.finish_load("alone")
    deployment.relay.heal(deployment.links_of("windhoek-west-1"))
    wait_until(lambda: deployment.status("windhoek-west-1")["hosts"]["khomasdal-1"]["alive"], "the reconnected host sees a host of another domain as alive")
    share = alone_result["answered"] / max(1, alone_result["requests"])
    assert share == 1, f"only {share:.0%} of the requests to the isolated domain were served by its own targets"
    result = deployment.finish_load()
    result["served_while_cut_off"] = share
    return result


def isolate_the_leader_while_operators_publish(deployment):
    leader = deployment.leader()
    others = [name for name in REPLICAS if name != leader]
    version = deployment.status(leader)["configurationVersion"]
    deployment.start_load()
    deployment.relay.silence(deployment.links_of(leader))
    inside_results = []
    isolated_publisher = threading.Thread(target=lambda: inside_results.append(deployment.put_configuration(leader, version, "inside", "inside", 20)))
    isolated_publisher.start()
    wait_until(lambda: deployment.leader(others), "another leader is elected")
    wait_until(lambda: deployment.put_configuration(others[0], version, "outside", "outside")[0] == 200, "the majority side accepts a change")
    isolated_publisher.join()
    assert inside_results[0][0] != 200, f"the isolated leader accepted a change: {inside_results[0]}"
    deployment.relay.heal(deployment.links_of(leader))
    wait_until(lambda: deployment.status(leader)["configurationVersion"] >= version + 1, "the former leader has the configuration version of the majority")
    history = deployment.get(deployment.leader(), "/v1/configuration/history")
    assert any(entry["author"] == "outside" for entry in history)
    return deployment.finish_load()


def restart_five_hundred_changes_behind(deployment):
    victim = deployment.followers()[0]
    deployment.kill(victim)
    others = [name for name in REPLICAS if name != victim]
    leader = deployment.leader(others)
    version = deployment.status(leader)["configurationVersion"]
    for number in range(500):
        status, body = deployment.put_configuration(leader, version + number, f"change-{number}")
        assert status == 200, body
    deployment.start_host(victim)
    wait_until(lambda: deployment.status(victim)["configurationVersion"] == version + 500, "the restarted host is up to date", 10)
    deployment.start_load(duration="2s")
    return deployment.finish_load()


def silence_open_connections(deployment):
    deployment.start_load()
    deployment.relay.silence_open_connections(list(deployment.relay.links))
    deployment.wait_for_answers(200)
    return deployment.finish_load()


def race_equal_versions(deployment):
    """Two operators publish concurrently on the same base version, a hundred times. Each time exactly one change is accepted,
    and the conflict response names the author and version of the accepted change."""
    version = deployment.status("katutura-1")["configurationVersion"]
    for number in range(100):
        results = {}

        def publish(author, host):
            results[author] = deployment.put_configuration(host, version, f"{author}-{number}", author)

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
        # Resending the accepted change returns the original response.
        assert deployment.put_configuration("windhoek-west-1", version, f"{winner}-{number}", winner) == results[winner]
        version += 1
    deployment.start_load(duration="2s")
    return deployment.finish_load()


def terminate_with_requests_in_progress(deployment):
    deployment.start_load()
    victim = deployment.followers()[0]
    wait_until(lambda: deployment.status(victim)["requestsInProgress"] > 0, "requests are in progress")
    # A load balancer stops sending to a host that is not ready, so the load on the victim lasts one second only, while the
    # main load continues on the other hosts.
    deployment.start_load("victim", "1s", deployment.entries_of([victim]), "0.3")
    deployment.send_signal(victim, signal.SIGTERM)
    code = deployment.processes.pop(victim).wait(40)
    assert code == 0, f"the host exited with code {code} after SIGTERM"
    victim_result = deployment.finish_load("victim")
    assert victim_result["unknown"] == 0, f"{victim_result['unknown']} requests or jobs have an unknown outcome after the graceful shutdown"
    deployment.start_host(victim)
    main_result = deployment.finish_load()
    main_result["answered_while_leaving"] = victim_result["answered"]
    return main_result


SCENARIOS = [kill_leader, kill_job_owner_and_dispatcher, kill_plain_entry, kill_worker_process, stop_leader_past_its_lease, lose_a_disk_and_then_a_second_host,
       cut_off_a_domain, isolate_the_leader_while_operators_publish, restart_five_hundred_changes_behind, silence_open_connections, race_equal_versions,
       terminate_with_requests_in_progress]
