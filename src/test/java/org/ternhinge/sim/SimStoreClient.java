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

/**
 * The key-value store as one controller process reaches it, with that process's share of limits.
 */
final class SimStoreClient extends StoreCoreClient {
  /** Of the limit on changes, what the leader uses; the others share the rest. */
  private static final double LEADER_SHARE = 0.7;

  /** After so long without an answer a listing is given up, in seconds. */
  private static final double LIST_TIMEOUT_S = 5;

  /** A watch is given up so long after its own end. */
  private static final double WATCH_TIMEOUT_S = 5;

  private final SimCluster cluster;
  private final SimController owner;
  private final SimKeyValueStore service;
  private final StoreFaults faults;
  private final TokenBucket changes;
  private final ResponseTimeouts timeouts;
  private boolean isLeading;

  /** Tokens for requests, or null while they are not counted. */
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

  /** The limit is for all controllers together; who leads uses most of it. */
  private double rate(boolean leading) {
    return cluster.settings.limits().writeRps() * share(leading);
  }

  private double share(boolean leading) {
    double follower = (1 - LEADER_SHARE) / Math.max(1, cluster.nodeCount() - 1);
    return leading ? LEADER_SHARE : follower;
  }

  void leads(boolean leading) {
    isLeading = leading;
    changes.setRate(rate(leading));
    if (requests != null) {
      requests.setRate(requestRate());
    }
  }

  private boolean refused() {
    return service.refuses(owner.index());
  }

  /** Brings a request to the service and its outcome back, unless the service refuses it. */
  private <T> CompletableFuture<Outcome<T>> send(double limitS, Supplier<Outcome<T>> work) {
    CompletableFuture<Outcome<T>> call =
        cluster.networkFaults.call(
            owner.zone(),
            NetworkFaults.REGION,
            () -> false,
            limitS,
            answer ->
                faults.delayed(
                    () -> {
                      Outcome<T> outcome =
                          refused() ? Outcome.notApplied(Reason.REFUSED, "503") : work.get();
                      faults.delayed(() -> answer.accept(outcome));
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

  /** Takes a token for a request, where requests are counted. */
  private boolean mayAsk(RequestPriority priority) {
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
    if (!mayAsk(priority)) {
      return CompletableFuture.completedFuture(Outcome.notApplied(Reason.RATE_LIMITED, ""));
    }
    cluster.counts.storeRead();
    return super.get(key, priority);
  }

  @Override
  public CompletableFuture<Outcome<Page>> list(
      String prefix, String after, int limit, RequestPriority priority) {
    return send(LIST_TIMEOUT_S, () -> Outcome.applied(core().list(prefix, after, limit)));
  }

  @Override
  public CompletableFuture<Outcome<Revision>> compareAndSwap(
      CompareAndSwap swap, RequestPriority priority) {
    if (!mayAsk(priority) || !changes.tryTake(priority, swap.changes().size())) {
      return CompletableFuture.completedFuture(Outcome.notApplied(Reason.RATE_LIMITED, ""));
    }
    cluster.counts.storeChanges(swap.changes().size());
    double late = faults.lateBy();
    if (late > 0) {
      cluster.clock.after(late, () -> service.compareAndSwap(owner.index(), swap));
      return timeouts.measure(
          Kind.ofWrite(priority), limitS -> owner.guard(cluster.network.fail(false, limitS)));
    }
    return call(Kind.ofWrite(priority), () -> service.compareAndSwap(owner.index(), swap))
        .thenApply(this::slowDownIfTooFast);
  }

  private Outcome<Revision> slowDownIfTooFast(Outcome<Revision> outcome) {
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
              if (refused()) {
                answer.accept(Outcome.notApplied(Reason.REFUSED, "503"));
                return;
              }
              core()
                  .watch(
                      prefix,
                      from.value(),
                      waitS,
                      this::watchIsSuspended,
                      seen -> faults.delayed(() -> answer.accept(Outcome.applied(seen))));
            });
    return owner.guard(call);
  }

  private boolean watchIsSuspended() {
    return refused() || cluster.networkFaults.apart(owner.zone(), NetworkFaults.REGION);
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
