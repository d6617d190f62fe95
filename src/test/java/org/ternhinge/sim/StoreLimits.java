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
 * The limits of the key-value store as the protocol defines them; they may be lowered at any time.
 */
final class StoreLimits {
  private static final int MAX_BODY = 64 * 1024;
  private static final int CONDITIONS_PER_CHANGE = 4;

  private final TokenBucket writes;
  private SimCluster.Limits current;

  /** Numbers of transactions rejected because of their size and because of the rate limit. */
  int rejectedTooLarge;

  int rejectedTooFast;

  StoreLimits(Clock clock, SimCluster.Limits initial) {
    this.current = initial;
    this.writes = new TokenBucket(clock, initial.writeRps());
  }

  /** Changes the limits; stored values are unaffected. */
  void set(SimCluster.Limits to) {
    current = to;
    writes.setRate(to.writeRps());
  }

  /** Applies a transaction if it is within the limits. */
  Outcome<Revision> apply(CompareAndSwap swap, Function<CompareAndSwap, Outcome<Revision>> write) {
    String violation = violation(swap);
    if (violation != null) {
      rejectedTooLarge++;
      return Outcome.notApplied(Reason.INVALID, violation);
    }
    // The rate limit is charged before the conditions are evaluated, even if they fail.
    int changes = swap.changes().size();
    if (changes > 0 && !writes.tryTake(RequestPriority.RENEWAL, changes)) {
      rejectedTooFast++;
      return Outcome.notApplied(Reason.REFUSED, "429");
    }
    return write.apply(swap);
  }

  private String violation(CompareAndSwap swap) {
    if (swap.changes().size() > current.maxChangesPerSwap()) {
      return swap.changes().size() + " changes, " + current.maxChangesPerSwap() + " are allowed";
    }
    if (swap.conditions().size() > CONDITIONS_PER_CHANGE * current.maxChangesPerSwap()) {
      return swap.conditions().size() + " conditions";
    }
    for (Change c : swap.changes()) {
      if (c.key().getBytes(StandardCharsets.UTF_8).length > 200) {
        return "key too long: " + c.key();
      }
      if (c instanceof Change.Put put) {
        int size = Json.bytes(put.value()).length;
        if (size > current.valueKb() * 1024) {
          return put.key() + " has " + size + " bytes, " + current.valueKb() + " KiB are allowed";
        }
      }
    }
    int size = swap.write().length;
    return size > MAX_BODY ? "a body of " + size + " bytes" : null;
  }
}
