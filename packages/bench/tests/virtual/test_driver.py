"""The shared driver and its fake engine."""

from anvilwell_bench.virtual import driver as drivers
from anvilwell_bench.virtual import engine as engines


def _run(seed):
    driver = drivers.Driver(seed)
    engine = engines.FakeEngine(driver, "e")
    ends = []
    rng = driver.rng("sizes")
    for number in range(100):
        work = engines.Work(
            str(number),
            rng.randint(1, 50),
            lambda work_id, tokens, whole: ends.append(
                (round(driver.now, 6), work_id, tokens, whole)
            ),
        )
        driver.after(rng.uniform(0, 1), engine.start, work)
    driver.run(60)
    return ends


def test_equal_seeds_give_equal_runs():
    assert _run(3) == _run(3)
    assert _run(3) != _run(4)


def test_every_stream_ends_once_and_whole():
    ends = _run(5)
    assert sorted(int(end[1]) for end in ends) == list(range(100))
    assert all(end[3] for end in ends)


def test_one_stream_takes_its_steps():
    driver = drivers.Driver(1)
    model = engines.EngineModel(base_step_s=0.1, per_stream_step_s=0.0)
    engine = engines.FakeEngine(driver, "e", model)
    ends = []
    work = engines.Work("w", 10, lambda *end: ends.append((driver.now, end)))
    engine.start(work)
    driver.after(0.55, lambda: ends.append(engine.progress("w")))
    driver.run(5)
    at, end = ends[1]
    assert ends[0] == 5
    assert round(at, 6) == 1.0
    assert end == ("w", 10, True)


def test_crash_tells_each_stream_with_its_progress():
    driver = drivers.Driver(1)
    model = engines.EngineModel(0.1, 0.0, max_batch=1)
    engine = engines.FakeEngine(driver, "e", model)
    ends = []
    for name in ("a", "b"):
        engine.start(engines.Work(name, 10, lambda *end: ends.append(end)))
    driver.after(0.35, engine.crash)
    driver.run(5)
    assert ends == [("a", 3, False), ("b", 0, False)]


def test_faults_hold_between_their_bounds():
    fault = drivers.Fault("down", "e", 1.0, 2.0)
    driver = drivers.Driver(1, [fault])
    seen = []
    driver.every(0.5, lambda: seen.append(driver.is_faulty("down", "e")))
    driver.run(2.6)
    assert seen == [False, True, True, False, False]
