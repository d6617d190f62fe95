package org.ternhinge.term;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ternhinge.model.Outcome;
import org.ternhinge.sim.SimClock;

/** Actions of a leadership run under the lock, and are dropped after its end. */
class LeadershipExecutorTest {
  private final SimClock clock = new SimClock();
  private final ReentrantLock lock = new ReentrantLock();
  private final LeadershipExecutor executor = new LeadershipExecutor(clock, lock);
  private final List<String> ran = new ArrayList<>();

  private void run(String name) {
    assertTrue(lock.isHeldByCurrentThread());
    ran.add(name);
  }

  /** Responses and timers that arrive after the end of a leadership must have no effect. */
  @ParameterizedTest(name = "stopped: {0}")
  @ValueSource(booleans = {false, true})
  void actionsRunUnderTheLockUntilTheLeadershipEnds(boolean stopped) {
    CompletableFuture<Outcome<String>> answer = new CompletableFuture<>();
    CompletableFuture<Outcome<String>> failed = new CompletableFuture<>();
    executor.schedule(5, () -> run("timer"));
    executor.whenAnswered(answer, outcome -> run("answer " + outcome));
    executor.whenAnswered(failed, outcome -> run("answer " + outcome));
    if (stopped) {
      executor.stop();
    }
    answer.complete(Outcome.applied("a"));
    failed.completeExceptionally(new IllegalStateException("lost"));
    executor.execute(() -> run("action"));
    clock.runFor(6);
    List<String> all =
        List.of(
            "answer Applied[value=a]",
            "answer Unknown[detail=java.lang.IllegalStateException: lost]",
            "action",
            "timer");
    assertEquals(stopped ? List.of() : all, ran);
    assertEquals(stopped, executor.isStopped());
    assertFalse(lock.isLocked());
  }
}
