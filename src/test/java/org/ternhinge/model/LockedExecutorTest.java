package org.ternhinge.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Actions and handlers run under the lock and leave it free. */
class LockedExecutorTest {
  private final ReentrantLock lock = new ReentrantLock();
  private final LockedExecutor executor = new LockedExecutor(lock);
  private final List<Boolean> held = new ArrayList<>();

  private void note() {
    held.add(lock.isHeldByCurrentThread());
  }

  @Test
  void everyKindOfActionRunsUnderTheLock() {
    executor.execute(this::note);
    executor.guarded(this::note).run();
    CompletableFuture<String> call = new CompletableFuture<>();
    executor.whenAnswered(call, result -> note());
    call.complete("answer");
    assertEquals(List.of(true, true, true), held);
    assertFalse(lock.isLocked());
  }

  @Test
  void theLockIsFreeAgainAfterAnActionThatThrows() {
    Runnable failing =
        () -> {
          throw new IllegalStateException("in the action");
        };
    assertThrows(IllegalStateException.class, () -> executor.execute(failing));
    assertFalse(lock.isLocked());
  }

  @ParameterizedTest(name = "fails: {0}")
  @ValueSource(booleans = {false, true})
  void aHandlerHearsOfEachEnd(boolean fails) {
    List<String> results = new ArrayList<>();
    CompletableFuture<String> call = new CompletableFuture<>();
    executor.whenAnswered(call, results::add);
    if (fails) {
      call.completeExceptionally(new IllegalStateException("no answer"));
    } else {
      call.complete("answer");
    }
    assertEquals(Collections.singletonList(fails ? null : "answer"), results);
  }

  @Test
  void theLockIsFreeAgainAfterAHandlerThatThrows() {
    CompletableFuture<String> call = new CompletableFuture<>();
    executor.whenAnswered(
        call,
        result -> {
          throw new IllegalStateException("in the handler");
        });
    executor.whenAnswered(call, result -> note());
    call.complete("answer");
    assertEquals(List.of(true), held);
    assertFalse(lock.isLocked());
  }
}
