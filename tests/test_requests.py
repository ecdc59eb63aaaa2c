"""Tests of a request's way from arrival to its one final answer."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from cardamommill import (
    actions,
    controller,
    documents,
    events,
    lifecycle,
    peering,
    periods,
    requesting,
    retries,
)
from cardamommill import board as board_lib
from tests import requestnode

NOT_RUN = requesting.Outcome.NOT_RUN
RAN = requesting.Outcome.RAN
UNKNOWN = requesting.Outcome.UNKNOWN


def node_with_notices(**fields) -> requestnode.Node:
    """Returns a node and, as its `told`, the list of its events."""
    told: list[events.Event] = []

    class Keeper(controller.Controller):
        """Keeps what controllers tell each other."""

        def step(self, event, now_ms):
            del now_ms
            told.append(event)
            return ()

    node = requestnode.Node(kinds=requestnode.KINDS + (Keeper,), **fields)
    node.told = told
    return node


def of_kind(told: list, kind: type) -> list:
    return [each for each in told if isinstance(each, kind)]


def dispatched(done: list) -> actions.Dispatch:
    return requestnode.only(done, actions.Dispatch)


def refused(done: list) -> requesting.Problem:
    return requestnode.only(done, actions.Refuse).problem


def test_stream_is_sent_finished_and_forgotten():
    node = requestnode.Node()
    dispatch = dispatched(node.arrive("a"))
    assert not dispatch.keep_answer
    node.step(events.AttemptStarted("a", dispatch.attempt_id, 200), 20)
    assert node.ended(dispatch, delivered=5) == [actions.Finish("a", 1)]
    assert not node.board.requests.stages
    use = node.board.limits.uses[(requestnode.SERVICE, "office")]
    assert use.concurrent == 0
    assert {load.in_flight for load in node.board.load.by_replica.values()
           } == {0}


def test_non_repeatable_waits_for_its_claim_and_settles_it():
    node = node_with_notices()
    assert node.arrive("a", repeatable=False, idempotency_key="k") == []
    dispatch = dispatched(node.step(events.ClaimGranted("a"), 20))
    assert dispatch.keep_answer
    answer = requesting.RecordedAnswer(200, "text/plain", "done")
    assert node.ended(dispatch, answer=answer) == [actions.Finish("a", 1)]
    assert of_kind(node.told, events.ClaimSettled) == [
        events.ClaimSettled("a", RAN, answer)
    ]


def test_claim_that_comes_too_late_is_given_back():
    """The caller got a 504 `not-run` while the table took its time.

    The grant comes after that. If nobody gave the claim back, the caller's
    repeat of a request that never ran would be refused for a day.
    """
    node = node_with_notices()
    node.arrive("a", repeatable=False, idempotency_key="k")
    problem = refused(node.tick(60_000))
    assert (problem.status, problem.outcome) == (504, NOT_RUN)
    node.step(events.ClaimGranted("a"))
    assert of_kind(node.told,
                   events.ClaimSettled) == [events.ClaimSettled("a", NOT_RUN)]


def test_refused_claim_gives_its_problem_or_the_recorded_answer():
    node = requestnode.Node()
    answer = requesting.RecordedAnswer(200, "text/plain", "done")
    node.arrive("a", repeatable=False)
    node.arrive("b", repeatable=False)
    assert node.step(events.ClaimRefused(
        "a", answer=answer)) == [actions.Replay("a", answer)]
    problem = requesting.Problem(409, "Running", "", "claim", outcome=UNKNOWN)
    assert refused(node.step(events.ClaimRefused("b", problem))) == problem


@pytest.mark.parametrize("phase, service, digest, status", [
    (board_lib.NodePhase.STARTING, requestnode.SERVICE, "good", 503),
    (board_lib.NodePhase.DRAINING, requestnode.SERVICE, "good", 503),
    (board_lib.NodePhase.SERVING, "nobody", "good", 404),
    (board_lib.NodePhase.SERVING, requestnode.SERVICE, "bad", 422),
])
def test_refused_at_arrival(phase, service, digest, status):
    node = requestnode.Node()
    node.board.life.phase = phase
    node.board.suspects.by_digest["bad"] = peering.Suspicion(
        "bad", peering.SuspectState.QUARANTINED, ())
    problem = refused(node.arrive("a", service=service, digest=digest))
    assert (problem.status, problem.outcome) == (status, NOT_RUN)
    assert (problem.retry_after_s > 0) == (status == 503)


@hypothesis.given(offsets=st.lists(st.integers(0, 5), max_size=2),
                  outcome=st.sampled_from([RAN, UNKNOWN]),
                  seed=st.integers(0, 9))
def test_stream_goes_on_elsewhere_from_each_offset(offsets, outcome, seed):
    """A replica dies in mid-stream, and so may the one that goes on.

    The caller must see each event once and in order: each attempt starts at
    what was delivered so far, at a replica that it was not sent to before.
    """
    node = requestnode.Node(seed=seed)
    dispatch = dispatched(node.arrive("a"))
    delivered, tried = 0, {dispatch.target.replica_id}
    for more in offsets:
        node.step(events.AttemptStarted("a", dispatch.attempt_id, 200))
        delivered += more
        done = node.ended(dispatch,
                          outcome,
                          whole=False,
                          delivered=delivered,
                          connection_lost=True)
        dispatch = dispatched(done)
        assert dispatch.resume_from == delivered
        assert dispatch.target.replica_id not in tried
        tried.add(dispatch.target.replica_id)
    attempts = len(offsets) + 1
    assert node.ended(dispatch) == [actions.Finish("a", attempts)]


@pytest.mark.parametrize("fields, delivered, outcome", [
    ({
        "repeatable": False
    }, 0, UNKNOWN),
    ({
        "repeatable": False
    }, 0, RAN),
    ({
        "streaming": False
    }, 0, UNKNOWN),
    ({}, 3, UNKNOWN),
])
def test_broken_answer_that_may_not_go_on_ends_in_an_error(
        fields, delivered, outcome):
    """The replica breaks off after the head of its answer came.

    The request isn't repeatable, or part of its body is out, or the engine
    can't resume. The caller must get an explicit error that says that it may
    have run, and no second attempt may be made.
    """
    doc = requestnode.document(engine=documents.Engine())
    node = requestnode.Node(doc=doc)
    done = node.arrive("a", **fields)
    done += node.step(events.ClaimGranted("a"))
    dispatch = dispatched(done)
    node.step(events.AttemptStarted("a", dispatch.attempt_id, 200))
    problem = refused(
        node.ended(dispatch, outcome, whole=False, delivered=delivered))
    assert (problem.status, problem.outcome) == (503, outcome)


def test_not_run_is_never_said_after_an_attempt_that_may_have_run():
    """The first replica gives no answer, the second refuses the request.

    The last word was `not-run`, but the first replica may have run it: a
    caller who believed that would have it run twice.
    """
    node = requestnode.Node(replicas=2)
    first = dispatched(node.arrive("a"))
    second = dispatched(node.ended(first, UNKNOWN, whole=False))
    problem = refused(node.ended(second, NOT_RUN, whole=False, status=503))
    assert problem.outcome == UNKNOWN


def test_end_of_a_former_attempt_changes_nothing():
    """An attempt's end comes twice, the second time after its retry began.

    If it were taken for the retry's end, the request would be sent a third
    time or answered while a replica still runs it.
    """
    node = requestnode.Node()
    first = dispatched(node.arrive("a"))
    second = dispatched(node.ended(first, UNKNOWN, whole=False))
    assert node.ended(first, NOT_RUN, whole=False) == []
    assert node.ended(second) == [actions.Finish("a", 2)]
    assert node.ended(second) == []


def test_lost_end_of_an_attempt_is_answered_after_the_deadline():
    """The shell's word of an attempt's end is lost.

    The caller must get its final answer all the same, and what is kept for
    the request must be freed.
    """
    node = requestnode.Node()
    dispatch = dispatched(node.arrive("a", deadline_ms=node.now_ms + 1000))
    assert node.tick(1000) == []
    done = node.tick(1000)
    assert actions.CancelAttempt("a", dispatch.attempt_id) in done
    assert (refused(done).status, refused(done).outcome) == (504, UNKNOWN)
    assert not node.board.requests.stages


def test_attempt_at_a_replica_that_serves_no_more_is_left():
    """The runner stands still: its connection is open, but nothing comes.

    Its evidence runs out. The attempt ends if it was silent all the while,
    and the request goes on at another replica; what may not run twice stays.
    """
    node = requestnode.Node()
    dispatch = dispatched(node.arrive("a"))
    node.arrive("b", repeatable=False)
    once = dispatched(node.step(events.ClaimGranted("b")))
    assert not of_kind(node.tick(500), actions.AbandonAttempt)
    timing = periods.Timing()
    node.still.update((dispatch.target.replica_id, once.target.replica_id))
    left = of_kind(node.tick(timing.evidence_max_age_ms),
                   actions.AbandonAttempt)
    assert left == [
        actions.AbandonAttempt("a", dispatch.attempt_id,
                               timing.evidence_max_age_ms,
                               "its replica serves no more")
    ]


def stand_still(node: requestnode.Node, *replicas: str) -> list:
    """Lets replicas stand still until attempts there may be left."""
    node.still.update(replicas)
    steps = periods.Timing().evidence_max_age_ms // 100 + 5
    return [
        each for _ in range(steps)
        for each in of_kind(node.tick(100), actions.AbandonAttempt)
    ]


@pytest.mark.parametrize("engine, attempts, suspect", [
    (documents.Engine(), 1, False),
    (documents.Engine(can_resume=True), 3, False),
    (documents.Engine(can_resume=True), 1, True),
])
def test_stream_that_may_not_go_on_elsewhere_is_not_left(
        engine, attempts, suspect):
    """The end of its attempt would be the end of its answer."""
    node = requestnode.Node(doc=requestnode.document(engine=engine))
    if suspect:
        node.board.suspects.by_digest["digest-a"] = peering.Suspicion(
            "digest-a", peering.SuspectState.SUSPECT, ("crash",))
    dispatch = dispatched(node.arrive("a"))
    for _ in range(attempts - 1):
        dispatch = dispatched(node.ended(dispatch, UNKNOWN, whole=False))
    node.step(events.AttemptStarted("a", dispatch.attempt_id, 200))
    assert not stand_still(node, dispatch.target.replica_id)


@pytest.mark.parametrize("proof", ["gone", "formed anew", "started again"])
def test_stream_whose_run_is_over_is_left_in_any_case(proof):
    """Nothing more can come of it; its caller would wait to its deadline."""
    node = requestnode.Node(doc=requestnode.document(engine=documents.Engine()))
    dispatch = dispatched(node.arrive("a"))
    node.step(events.AttemptStarted("a", dispatch.attempt_id, 200))
    replica, vm_id = dispatch.target.replica_id, dispatch.target.vm_id
    rows, by_vm = node.board.assignments.replicas, node.board.evidence.by_vm
    if proof == "gone":
        del node.board.vms.listed[vm_id]
    elif proof == "formed anew":
        rows[replica] = dataclasses.replace(rows[replica], formation=2)
    else:
        report = dataclasses.replace(by_vm[vm_id].report, boot_id="next")
        by_vm[vm_id] = dataclasses.replace(by_vm[vm_id], report=report)
    assert stand_still(node, replica)[0].attempt_id == dispatch.attempt_id


def begun(node: requestnode.Node, count: int) -> list[actions.Dispatch]:
    """Returns the dispatches of streams that have begun."""
    sent = [dispatched(node.arrive(f"a{number}")) for number in range(count)]
    for each in sent:
        node.step(events.AttemptStarted(each.request_id, each.attempt_id, 200))
    return sent


def test_streams_stay_at_replicas_that_are_all_silent():
    """Each of them may go on, and nobody else can take their streams."""
    node = requestnode.Node(replicas=2)
    begun(node, 4)
    assert not stand_still(node, "r0", "r1")


def test_streams_do_not_go_to_replicas_that_fell_silent_with_theirs():
    """The last word of the other one is younger, and from before as well."""
    node = requestnode.Node(replicas=2)
    first = begun(node, 1)[0].target.replica_id
    node.still.add(first)
    node.tick(periods.Timing().poll_ms - 100)
    assert not stand_still(node, "r0", "r1")
    node.still.remove("r1" if first == "r0" else "r0")
    assert of_kind(node.tick(500), actions.AbandonAttempt)


def test_no_more_streams_are_left_than_find_a_place():
    """A full replica stands still; the other has one place left.

    The rest would wait in vain, while the first one goes on.
    """
    node = requestnode.Node(replicas=2)
    sent = begun(node, 8)
    first = [each for each in sent if each.target.replica_id == "r0"]
    second = [each for each in sent if each.target.replica_id == "r1"]
    assert len(first) == len(second) == 4
    node.ended(second[0])
    left = stand_still(node, "r0")
    assert {each.attempt_id for each in left} == {first[0].attempt_id}
    moved = dispatched(
        node.ended(first[0], UNKNOWN, whole=False, delivered=3, silent=True))
    assert moved.target.replica_id == "r1"


def test_stream_is_left_for_another_data_centre_that_has_room():
    node = requestnode.Node(replicas=1)
    first, second = begun(node, 2)
    node.summary(free_slots=1)
    left = stand_still(node, "r0")
    assert {each.attempt_id for each in left} == {first.attempt_id}
    assert not node.ended(first, UNKNOWN, whole=False, delivered=3, silent=True)
    moved = dispatched(node.tick(1000))
    assert moved.target.remote_node and moved.resume_from == 3
    assert not stand_still(node, "r0")
    del second


def test_no_more_attempts_are_left_than_may_be_made_anew():
    """A replica with more requests than there are retries stands still."""
    node = requestnode.Node(replicas=2, slots=100)
    sent = [dispatched(node.arrive(f"a{number}")) for number in range(60)]
    replica = sent[0].target.replica_id
    there = [each for each in sent if each.target.replica_id == replica]
    assert len(there) > retries.RESERVE
    left = {each.attempt_id for each in stand_still(node, replica)}
    assert 0 < len(left) <= retries.RESERVE
    for each in there:
        if each.attempt_id in left:
            dispatched(node.ended(each, UNKNOWN, whole=False, silent=True))


def test_place_that_was_left_for_its_silence_may_be_used_again():
    """It goes on a moment later, when the only other one has refused."""
    node = requestnode.Node(replicas=2)
    first = dispatched(node.arrive("a"))
    node.step(events.AttemptStarted("a", first.attempt_id, 200))
    left = stand_still(node, first.target.replica_id)
    assert left[0].attempt_id == first.attempt_id
    second = dispatched(
        node.ended(first, UNKNOWN, whole=False, delivered=3, silent=True))
    assert second.target.replica_id != first.target.replica_id
    assert node.ended(second, NOT_RUN, whole=False, status=503,
                      delivered=3) == []
    node.still.clear()
    third = dispatched(node.tick(1000))
    assert third.target.replica_id == first.target.replica_id
    assert third.resume_from == 3


def test_pause_of_this_node_is_no_silence_of_its_runners():
    """The node stood still: its evidence grew old, and it read no answers.

    Runners that answer are asked anew before an attempt is left.
    """
    node = requestnode.Node(kinds=requestnode.KINDS + (lifecycle.Lifecycle,))
    dispatch = dispatched(node.arrive("a"))
    node.step(events.Paused(5000), 5000)
    assert not of_kind(node.tick(0, refresh=False), actions.AbandonAttempt)
    node.still.add(dispatch.target.replica_id)
    timing = periods.Timing()
    for _ in range(timing.evidence_max_age_ms // 100 - 1):
        assert not of_kind(node.tick(100), actions.AbandonAttempt)
    assert of_kind(node.tick(500), actions.AbandonAttempt)


def test_caller_that_goes_ends_a_repeatable_attempt_only():
    node = node_with_notices()
    dispatch = dispatched(node.arrive("a"))
    done = node.step(events.CallerGone("a"))
    assert done[0] == actions.CancelAttempt("a", dispatch.attempt_id)
    assert (refused(done).status, refused(done).outcome) == (499, UNKNOWN)
    node.arrive("b", repeatable=False)
    dispatch = dispatched(node.step(events.ClaimGranted("b")))
    assert node.step(events.CallerGone("b")) == []
    answer = requesting.RecordedAnswer(200, "text/plain", "done")
    done = node.ended(dispatch, whole=False, answer=answer)
    assert done == [actions.Finish("b", 1)]
    assert of_kind(node.told, events.ClaimSettled) == [
        events.ClaimSettled("b", RAN, answer)
    ]
    assert len(of_kind(node.told, events.RequestEnded)) == 2


def test_crash_is_told_once_with_all_that_ran():
    """One runner's crash breaks the connections of three requests.

    Told three times, it would count as three crashes against each of them.
    """
    node = node_with_notices(replicas=1)
    sent = [dispatched(node.arrive(name)) for name in "abc"]
    for dispatch in sent:
        node.ended(dispatch, UNKNOWN, whole=False, connection_lost=True)
    crash, = of_kind(node.told, events.RunnerCrashed)
    assert crash.digests == ("digest-a", "digest-b", "digest-c")


def test_suspects_run_apart_and_are_not_tried_again():
    """Three requests were on a replica that crashed; one of them did it.

    Each must run where no other suspect runs, or an innocent one would be
    there at the second crash too and be quarantined. After a second crash
    there is no third attempt. Others go beside them only if they must.
    """
    node = requestnode.Node(replicas=2)
    for name in "abc":
        digest = f"digest-{name}"
        node.board.suspects.by_digest[digest] = peering.Suspicion(
            digest, peering.SuspectState.SUSPECT, ("crash",))
    first = dispatched(node.arrive("a"))
    second = dispatched(node.arrive("b"))
    assert first.target.replica_id != second.target.replica_id
    assert node.arrive("c") == []
    assert dispatched(node.arrive("innocent")).request_id == "innocent"
    done = node.ended(first, UNKNOWN, whole=False, connection_lost=True)
    assert refused(done).outcome == UNKNOWN
    assert dispatched(done).request_id == "c"


def test_all_replicas_tried_is_answered_at_once():
    node = requestnode.Node(replicas=1)
    dispatch = dispatched(node.arrive("a"))
    done = node.ended(dispatch, NOT_RUN, whole=False)
    assert refused(done).outcome == NOT_RUN


def test_tried_replica_may_be_used_again_once_it_was_formed_anew():
    """One replica refuses since its VM leaves; the other gives no evidence.

    The caller must not be refused for that: either the other one's evidence
    comes, or the first one is formed anew without the leaving VM.
    """
    node = requestnode.Node(replicas=2)
    node.board.vms.leaving.add("vm-r1")
    first = dispatched(node.arrive("a"))
    assert node.ended(first, NOT_RUN, whole=False, status=503) == []
    rows = node.board.assignments.replicas
    rows["r0"] = dataclasses.replace(rows["r0"], formation=2)
    second = dispatched(node.tick(300))
    assert second.target.replica_id == first.target.replica_id
    assert node.ended(second) == [actions.Finish("a", 2)]


def test_waits_for_evidence_but_not_for_ever():
    node = requestnode.Node()
    node.now_ms += 5000
    assert node.arrive("a") == []
    assert dispatched(node.tick()).request_id == "a"
    node.now_ms += 5000
    assert node.arrive("b") == []
    assert refused(node.tick(5000, refresh=False)).status == 503


def test_queue_that_is_too_long_breaks_off_no_stream():
    """A stream waits to go on; more urgent requests come than may wait."""
    doc = requestnode.document(limits=documents.Limits(queue_length=2))
    node = requestnode.Node(replicas=2, doc=doc, slots=2)
    first = dispatched(node.arrive("a", priority=9))
    node.step(events.AttemptStarted("a", first.attempt_id, 200))
    for number in range(3):
        dispatched(node.arrive(f"b{number}"))
    assert node.ended(first, UNKNOWN, whole=False, delivered=3) == []
    done = [each for number in range(4) for each in node.arrive(f"c{number}")]
    assert [each.request_id for each in of_kind(done, actions.Refuse)
           ] == ["c2", "c3"]


def test_broken_stream_waits_for_evidence_however_old_it_is():
    """All replicas are silent at the moment; one of them goes on soon."""
    node = requestnode.Node()
    first = dispatched(node.arrive("a"))
    node.step(events.AttemptStarted("a", first.attempt_id, 200))
    for _ in range(100):
        node.tick(100)
    node.now_ms += periods.Timing().evidence_max_age_ms
    assert node.ended(first, UNKNOWN, whole=False, delivered=3) == []
    assert node.tick(1000, refresh=False) == []
    assert dispatched(node.tick(1000)).resume_from == 3


@pytest.mark.parametrize("hop, spills", [(0, True), (1, False)])
def test_goes_to_another_data_centre_once(hop, spills):
    node = requestnode.Node(replicas=0)
    node.summary()
    done = node.arrive("a", hop=hop)
    if not spills:
        assert refused(done).status == 503
        return
    dispatch = dispatched(done)
    assert dispatch.target.remote_node
    assert dispatch.target.address == "10.9.9.9:80"
    assert refused(node.ended(dispatch, NOT_RUN, whole=False)).status == 503


def test_no_more_goes_to_another_data_centre_than_it_had_room_for():
    """A data centre has lost its replicas; another had four free slots.

    Its summary is seconds old. Each of two nodes may count on half of them
    until the next one comes; the rest is refused here at once.
    """
    node = requestnode.Node(replicas=0)
    node.peer("node-2")
    node.summary(free_slots=4)
    ends = [requestnode.kinds(node.arrive(f"a{n}"))[0] for n in range(4)]
    assert ends == ["Dispatch", "Dispatch", "Refuse", "Refuse"]
    node.now_ms += 100
    node.summary(free_slots=1)
    ends = [requestnode.kinds(node.arrive(f"b{n}"))[0] for n in range(2)]
    assert ends == ["Dispatch", "Refuse"]


@pytest.mark.parametrize("hop", [0, 1])
def test_non_repeatable_never_goes_to_another_data_centre(hop):
    """All replicas of the data centre are lost; another one has room.

    A node there can't tell this node's claim from a caller's word that there
    is one, so it would have to claim the key itself, or run what may have
    run. The caller gets `not-run` at once and can ask there with its key.
    """
    node = requestnode.Node(replicas=0)
    node.summary()
    problem = refused(node.arrive("a", repeatable=False, hop=hop))
    assert (problem.status, problem.outcome) == (503, NOT_RUN)


def test_hop_that_a_caller_made_up_needs_a_claim_too():
    node = node_with_notices()
    assert node.arrive("a", repeatable=False, hop=1) == []
    assert of_kind(node.told, events.ClaimWanted)
