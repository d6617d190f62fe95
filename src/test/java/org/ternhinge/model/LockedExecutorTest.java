package org.ternhinge.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import org.junit.jupiter.api.Test;

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
    call.whenComplete(executor.callback((result, error) -> note()));
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

  @Test
  void aCallbackHearsOfAFailureToo() {
    List<Throwable> errors = new ArrayList<>();
    CompletableFuture<String> call = new CompletableFuture<>();
    call.whenComplete(executor.callback((result, error) -> errors.add(error)));
    call.completeExceptionally(new IllegalStateException("no answer"));
    assertTrue(errors.get(0) instanceof IllegalStateException);
  }
}
