"""Tests of trial deployments, without nodes."""

import pathlib

import pytest

from cardamommill import exceptions, launching, processes


def plan(**options):
    vm = launching.VmPlan("v1", "dc", "f1", "gpu", options)
    return launching.Plan("region", {}, (vm,), vm_list_lag_ms=0)


def test_all_that_was_started_is_ended():
    with launching.Deployment(plan(kind="plain")) as deployment:
        listed = deployment.platform_call("GET", "/vms")["vms"]
        assert [vm["vm_id"] for vm in listed] == ["v1"]
        assert deployment.runner_call("v1", "/state")["vm_id"] == "v1"
        address = deployment.runner_addresses["v1"]
        deployment.runners["v1"].kill()
        deployment.restart_runner(deployment.plan.vms[0])
        deployment.list_vm(deployment.plan.vms[0])
        assert deployment.runner_addresses["v1"] == address
        deployment.runners["v1"].pause()
    started = [*deployment.runners.values(), deployment.platform]
    assert not any(process.running() for process in started)
    assert not deployment.directory.exists()


def test_no_outgoing_connection_can_take_the_port_of_a_dead_runner():
    """A runner dies, and connections go out before its next life begins.

    The system gives one of them the runner's port, the next life can't listen
    and ends, and callers are refused by a runner that was to be back.
    """
    text = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text()
    lowest = int(text.split()[0])
    with launching.Deployment(plan(kind="plain")) as deployment:
        addresses = [
            deployment.runner_addresses["v1"], deployment.platform_address
        ]
    assert all(int(each.split(":")[1]) < lowest for each in addresses)


def test_a_wrong_option_is_told_in_one_line():
    with pytest.raises(exceptions.CommandError) as error:
        with launching.Deployment(plan(colour="red")):
            pass
    assert "no such option: colour" in str(error.value)
    assert "Traceback" not in str(error.value)


def test_waiting_ends_with_what_did_not_happen():
    with pytest.raises(exceptions.CommandError, match="the sky falls"):
        processes.wait_until(lambda: False, "the sky falls", timeout_s=0.01)
