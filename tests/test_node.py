"""Tests of the node's process itself."""

import time

from cardamommill import launching, processes

NODE = "entry-1"
PLAN = launching.Plan("cz", {NODE: "kladno"}, ())


def test_stopped_and_continued_node_goes_on():
    """The hypervisor stops a node's VM for a while and lets it go on.

    Callers find it ready again. It had taken the interrupted wait for a
    signal to end, and had shut down gracefully with nobody asking.
    """
    with launching.Deployment(PLAN) as deployment:
        deployment.wait_ready()
        node = deployment.nodes[NODE]
        for _ in range(3):
            node.pause()
            time.sleep(0.5)
            node.resume()
            processes.wait_until(lambda: deployment.node_ready(NODE),
                                 "the node is ready again")
        assert "event=leaving" not in node.log.read_text("utf-8")
        node.terminate()
        assert node.wait(20) == 0
