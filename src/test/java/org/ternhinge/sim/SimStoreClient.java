package org.ternhinge.sim;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.ternhinge.config.Tuning;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.limit.TokenBucket;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Revision;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.ResponseTimeouts;
import org.ternhinge.store.ResponseTimeouts.Kind;

/** The key-value store as seen by one controller process, with its share of the rate limits. */
final class SimStoreClient extends InMemoryStoreClient {
  /** The leader's share of the limit on changes; the other controllers divide the rest. */
  private static final double LEADER_SHARE = 0.7;

  /** Timeout of a listing, in seconds. */
  private static final double LIST_TIMEOUT_S = 5;

  /** Margin after the end of a watch before it times out, in seconds. */
  private static final double WATCH_TIMEOUT_S = 5;

  private final SimCluster cluster;
  private final SimController owner;
  private final SimKeyValueStore service;
  private final StoreFaults faults;
  private final TokenBucket changes;
  private final ResponseTimeouts timeouts;
  private boolean isLeading;

  /** Token bucket for requests, or null while requests are not limited. */
  private TokenBucket requests;

  SimStoreClient(SimCluster cluster, SimController owner) {
    super(cluster.store.contents());
    this.cluster = cluster;
    this.owner = owner;
    this.service = cluster.store;
    this.faults = cluster.storeFaults;
    this.changes = new TokenBucket(cluster.clock, rate(false));
    this.timeouts = ResponseTimeouts.of(cluster.clock, Tuning.DEFAULT);
  }

  /**
   * The change rate of this process; the limit applies to all controllers together, and the leader
   * gets most of it.
   */
  private double rate(boolean leading) {
    return cluster.settings.limits().writeRps() * share(leading);
  }

  private double share(boolean leading) {
    double follower = (1 - LEADER_SHARE) / Math.max(1, cluster.nodeCount() - 1);
    return leading ? LEADER_SHARE : follower;
  }

  void setLeading(boolean leading) {
    isLeading = leading;
    changes.setRate(rate(leading));
    if (requests != null) {
      requests.setRate(requestRate());
    }
  }

  private boolean isRefused() {
    return service.refuses(owner.index());
  }

  /** Carries a request to the store and its outcome back, unless the store refuses it. */
  private <T> CompletableFuture<Outcome<T>> send(double limitS, Supplier<Outcome<T>> work) {
    CompletableFuture<Outcome<T>> call =
        cluster.networkFaults.call(
            owner.zone(),
            NetworkFaults.REGION,
            () -> false,
            limitS,
            answer ->
                faults.afterLatency(
                    () -> {
                      Outcome<T> outcome =
                          isRefused() ? Outcome.notApplied(Reason.REFUSED, "503") : work.get();
                      faults.afterLatency(() -> answer.accept(outcome));
                    }));
    return owner.guard(call);
  }

  @Override
  <T> CompletableFuture<Outcome<T>> call(Kind kind, Supplier<Outcome<T>> work) {
    return timeouts.measure(kind, limitS -> send(limitS, work));
  }

  @Override
  <T> CompletableFuture<Outcome<T>> call(double limitS, Supplier<Outcome<T>> work) {
    return timeouts.observe(send(limitS, work));
  }

  /** Takes a token for a request if requests are limited. */
  private boolean tryTakeRequest(RequestPriority priority) {
    if (service.requestRps() == 0) {
      return true;
    }
    if (requests == null) {
      requests = new TokenBucket(cluster.clock, requestRate());
    }
    return requests.tryTake(priority, 1);
  }

  private double requestRate() {
    return service.requestRps() * share(isLeading);
  }

  @Override
  public CompletableFuture<Outcome<ReadResult>> get(String key, RequestPriority priority) {
    if (!tryTakeRequest(priority)) {
      return CompletableFuture.completedFuture(Outcome.notApplied(Reason.RATE_LIMITED, ""));
    }
    cluster.counts.countStoreRead();
    return super.get(key, priority);
  }

  @Override
  public CompletableFuture<Outcome<Page>> list(
      String prefix, String after, int limit, RequestPriority priority) {
    return send(LIST_TIMEOUT_S, () -> Outcome.applied(store().list(prefix, after, limit)));
  }

  @Override
  public CompletableFuture<Outcome<Revision>> compareAndSwap(
      CompareAndSwap swap, RequestPriority priority) {
    if (!tryTakeRequest(priority) || !changes.tryTake(priority, swap.changes().size())) {
      return CompletableFuture.completedFuture(Outcome.notApplied(Reason.RATE_LIMITED, ""));
    }
    cluster.counts.countStoreChanges(swap.changes().size());
    double writeDelayS = faults.nextWriteDelayS();
    if (writeDelayS > 0) {
      cluster.clock.schedule(writeDelayS, () -> service.compareAndSwap(owner.index(), swap));
      return timeouts.measure(
          Kind.ofWrite(priority), limitS -> owner.guard(cluster.network.fail(false, limitS)));
    }
    return call(Kind.ofWrite(priority), () -> service.compareAndSwap(owner.index(), swap))
        .thenApply(this::drainTokensIfRateLimited);
  }

  private Outcome<Revision> drainTokensIfRateLimited(Outcome<Revision> outcome) {
    if (outcome instanceof Outcome.NotApplied<Revision> refused && refused.detail().equals("429")) {
      changes.pauseAfterRejection();
    }
    return outcome;
  }

  @Override
  public CompletableFuture<Outcome<WatchResult>> watch(String prefix, Revision from, double waitS) {
    CompletableFuture<Outcome<WatchResult>> call =
        cluster.networkFaults.call(
            owner.zone(),
            NetworkFaults.REGION,
            () -> false,
            waitS + WATCH_TIMEOUT_S,
            answer -> {
              if (isRefused()) {
                answer.accept(Outcome.notApplied(Reason.REFUSED, "503"));
                return;
              }
              store()
                  .watch(
                      prefix,
                      from.value(),
                      waitS,
                      this::isWatchSuspended,
                      seen -> faults.afterLatency(() -> answer.accept(Outcome.applied(seen))));
            });
    return owner.guard(call);
  }

  private boolean isWatchSuspended() {
    return isRefused() || cluster.networkFaults.areDisconnected(owner.zone(), NetworkFaults.REGION);
  }

  @Override
  public int availableChanges(RequestPriority priority) {
    return changes.available(priority);
  }

  @Override
  public double secondsUntilAvailable(int count, RequestPriority priority) {
    return changes.secondsUntil(priority, count);
  }
}
