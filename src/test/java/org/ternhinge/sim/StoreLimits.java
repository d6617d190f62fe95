package org.ternhinge.sim;

import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.limit.TokenBucket;
import org.ternhinge.model.Clock;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Revision;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.wire.Json;

/**
 * What the key-value store takes, as the protocol page gives it; it may become less at any time.
 */
final class StoreLimits {
  private static final int MAX_BODY = 64 * 1024;
  private static final int CONDITIONS_TO_A_CHANGE = 4;

  private final TokenBucket writes;
  private SimCluster.Limits now;

  /** Transactions that were too large, and those that came too fast. */
  int tooLarge;

  int tooFast;

  StoreLimits(Clock clock, SimCluster.Limits first) {
    this.now = first;
    this.writes = new TokenBucket(clock, first.writeRps());
  }

  /** What is stored stays as it is. */
  void set(SimCluster.Limits to) {
    now = to;
    writes.setRate(to.writeRps());
  }

  /** Carries a transaction out where it keeps to the limits. */
  Outcome<Revision> take(
      CompareAndSwap compareAndSwap, Function<CompareAndSwap, Outcome<Revision>> carryOut) {
    String against = against(compareAndSwap);
    if (against != null) {
      tooLarge++;
      return Outcome.notApplied(Reason.INVALID, against);
    }
    // Counted before the conditions are looked at, and also if they fail.
    int changes = compareAndSwap.changes().size();
    if (changes > 0 && !writes.tryTake(RequestPriority.RENEWAL, changes)) {
      tooFast++;
      return Outcome.notApplied(Reason.REFUSED, "429");
    }
    return carryOut.apply(compareAndSwap);
  }

  private String against(CompareAndSwap compareAndSwap) {
    if (compareAndSwap.changes().size() > now.maxChangesPerSwap()) {
      return compareAndSwap.changes().size()
          + " changes, "
          + now.maxChangesPerSwap()
          + " are allowed";
    }
    if (compareAndSwap.conditions().size() > CONDITIONS_TO_A_CHANGE * now.maxChangesPerSwap()) {
      return compareAndSwap.conditions().size() + " conditions";
    }
    for (Change c : compareAndSwap.changes()) {
      if (c.key().getBytes(StandardCharsets.UTF_8).length > 200) {
        return "key too long: " + c.key();
      }
      if (c instanceof Change.Put put) {
        int size = Json.bytes(put.value()).length;
        if (size > now.valueKb() * 1024) {
          return put.key() + " has " + size + " bytes, " + now.valueKb() + " KiB are allowed";
        }
      }
    }
    int size = compareAndSwap.write().length;
    return size > MAX_BODY ? "a body of " + size + " bytes" : null;
  }
}
