"""Tests of the bench of the planner: that its days show what they should."""

from cardamommill import bench_failures, bench_fleet

SIZE = bench_failures.Size("small", (6, 6), 2, 4, 2)


def test_ours_is_down_for_less_than_a_plain_rebuild():
    ours, plain = bench_fleet.run(2,
                                  workers=2,
                                  sizes=(SIZE,),
                                  policies=(bench_fleet.OURS,
                                            bench_fleet.REBUILD))
    assert plain.total("failures") == ours.total("failures") > 0
    assert ours.total("down_ms") < plain.total("down_ms") / 2
    assert "rebuild without spares" in bench_fleet.report((ours, plain))


def test_the_same_seed_gives_the_same_day():
    one = bench_failures.failures(SIZE, 3)
    assert one == bench_failures.failures(SIZE, 3)
    assert one != bench_failures.failures(SIZE, 4)
