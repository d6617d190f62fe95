package org.ternhinge.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Actions and handlers run under the lock, which is released afterwards. */
class LockedExecutorTest {
  private final ReentrantLock lock = new ReentrantLock();
  private final LockedExecutor executor = new LockedExecutor(lock);
  private final List<Boolean> lockHeldDuringAction = new ArrayList<>();

  private void recordLockState() {
    lockHeldDuringAction.add(lock.isHeldByCurrentThread());
  }

  @Test
  void actionsAndHandlersRunUnderTheLock() {
    executor.execute(this::recordLockState);
    executor.guarded(this::recordLockState).run();
    CompletableFuture<Outcome<String>> call = new CompletableFuture<>();
    executor.whenComplete(call, result -> recordLockState());
    call.complete(Outcome.applied("response"));
    assertEquals(List.of(true, true, true), lockHeldDuringAction);
    assertFalse(lock.isLocked());
  }

  @Test
  void lockIsReleasedAfterAnActionThrows() {
    Runnable failing =
        () -> {
          throw new IllegalStateException("in the action");
        };
    assertThrows(IllegalStateException.class, () -> executor.execute(failing));
    assertFalse(lock.isLocked());
  }

  @ParameterizedTest(name = "fails: {0}")
  @ValueSource(booleans = {false, true})
  void handlerReceivesAnOutcomeHoweverTheCallEnds(boolean fails) {
    List<Outcome<String>> results = new ArrayList<>();
    CompletableFuture<Outcome<String>> call = new CompletableFuture<>();
    executor.whenComplete(call, results::add);
    if (fails) {
      call.completeExceptionally(new IllegalStateException("no response"));
    } else {
      call.complete(Outcome.applied("response"));
    }
    Outcome<String> failed = Outcome.unknown("java.lang.IllegalStateException: no response");
    assertEquals(List.of(fails ? failed : Outcome.applied("response")), results);
  }

  @Test
  void lockIsReleasedAfterAHandlerThrows() {
    CompletableFuture<Outcome<String>> call = new CompletableFuture<>();
    executor.whenComplete(
        call,
        result -> {
          throw new IllegalStateException("in the handler");
        });
    executor.whenComplete(call, result -> recordLockState());
    call.complete(Outcome.applied("response"));
    assertEquals(List.of(true), lockHeldDuringAction);
    assertFalse(lock.isLocked());
  }
}
