package org.ternhinge.sim;

import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.limit.TokenBucket;
import org.ternhinge.model.Clock;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Revision;
import org.ternhinge.state.Change;
import org.ternhinge.state.Txn;
import org.ternhinge.wire.Json;

/** What the state service takes, as the protocol page gives it; it may become less at any time. */
final class StateLimits {
  private static final int MAX_BODY = 64 * 1024;
  private static final int CONDITIONS_TO_A_CHANGE = 4;

  private final TokenBucket writes;
  private SimCluster.Limits now;

  /** Transactions that were too large, and those that came too fast. */
  int tooLarge;

  int tooFast;

  StateLimits(Clock clock, SimCluster.Limits first) {
    this.now = first;
    this.writes = new TokenBucket(clock, first.writeRps());
  }

  /** What is stored stays as it is. */
  void set(SimCluster.Limits to) {
    now = to;
    writes.setRate(to.writeRps());
  }

  /** Carries a transaction out where it keeps to the limits. */
  Outcome<Revision> take(Txn txn, Function<Txn, Outcome<Revision>> carryOut) {
    String against = against(txn);
    if (against != null) {
      tooLarge++;
      return Outcome.notApplied(Reason.INVALID, against);
    }
    // Counted before the conditions are looked at, and also if they fail.
    int changes = txn.changes().size();
    if (changes > 0 && !writes.tryTake(RequestPriority.RENEWAL, changes)) {
      tooFast++;
      return Outcome.notApplied(Reason.REFUSED, "429");
    }
    return carryOut.apply(txn);
  }

  private String against(Txn txn) {
    if (txn.changes().size() > now.txnOps()) {
      return txn.changes().size() + " changes, " + now.txnOps() + " are allowed";
    }
    if (txn.conditions().size() > CONDITIONS_TO_A_CHANGE * now.txnOps()) {
      return txn.conditions().size() + " conditions";
    }
    for (Change c : txn.changes()) {
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
    int size = txn.write().length;
    return size > MAX_BODY ? "a body of " + size + " bytes" : null;
  }
}
