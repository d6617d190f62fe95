package org.ternhinge.sim;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;

/** A network that delays, queues and loses messages at random. */
final class SimNetwork {
  private final SimClock clock;
  private final RandomGenerator random;
  double lossShare;

  /** Maximum message delay in either direction while links are slow, in seconds; otherwise 0. */
  double maxLinkDelayS;

  /** Whether a partition delivers some messages late instead of dropping all of them. */
  boolean queuesDuringPartition = true;

  SimNetwork(SimClock clock, RandomGenerator random) {
    this.clock = clock;
    this.random = random;
  }

  /** Sends a request; the work runs when the request arrives. */
  <T> CompletableFuture<Outcome<T>> call(
      Supplier<Boolean> isDisconnected, double timeoutS, Consumer<Consumer<Outcome<T>>> work) {
    CompletableFuture<Outcome<T>> result = new CompletableFuture<>();
    if (isDisconnected.get()) {
      if (!queuesDuringPartition || random.nextDouble() < 0.5) {
        clock.schedule(
            1, () -> result.complete(Outcome.notApplied(Reason.NO_CONNECTION, "partitioned")));
        return result;
      }
      // Queued during the partition and delivered long after the sender has timed out.
      clock.schedule(timeoutS, () -> result.complete(Outcome.unknown("partitioned")));
      clock.schedule(5 + random.nextDouble() * 60, () -> work.accept(outcome -> {}));
      return result;
    }
    boolean isRequestLate = random.nextDouble() < lossShare;
    boolean isResponseLost = random.nextDouble() < lossShare;
    double requestDelayS = isRequestLate ? timeoutS * (0.5 + random.nextDouble() * 8) : delay();
    clock.schedule(timeoutS, () -> result.complete(Outcome.unknown("timeout")));
    clock.schedule(
        requestDelayS,
        () ->
            work.accept(
                outcome -> {
                  if (!isResponseLost) {
                    clock.schedule(delay(), () -> result.complete(outcome));
                  }
                }));
    return result;
  }

  /** A call whose request is lost: refused quickly or never answered. */
  <T> CompletableFuture<Outcome<T>> fail(boolean refused, double timeoutS) {
    CompletableFuture<Outcome<T>> result = new CompletableFuture<>();
    clock.schedule(
        refused ? Math.min(1, timeoutS) : timeoutS,
        () ->
            result.complete(
                refused
                    ? Outcome.notApplied(Reason.NO_CONNECTION, "partitioned")
                    : Outcome.unknown("partitioned")));
    return result;
  }

  private double delay() {
    if (maxLinkDelayS > 0) {
      return maxLinkDelayS * (0.2 + 0.8 * random.nextDouble());
    }
    return 0.001 + random.nextDouble() * (random.nextDouble() < 0.02 ? 0.4 : 0.006);
  }
}
