package org.ternhinge.scaling;

import com.fasterxml.jackson.databind.node.BooleanNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.Keys;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Outcome;
import org.ternhinge.store.Entry;
import org.ternhinge.term.BucketedRecords;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.term.LeadershipExecutor;
import org.ternhinge.term.RoundTrigger;

/**
 * Releases machines. A release is recorded before it is sent and repeated until it is answered, so
 * that no leader places tasks on a machine that may disappear at any time. One request releases
 * many machines, since the cloud accepts few requests per second. Guarded by the controller's lock.
 */
public final class MachineReleaser {
  /** Machines that the cloud releases in one request. */
  private static final int MAX_MACHINES = 100;

  private final MachineRemoval removal;
  private final LeadershipExecutor executor;
  private final MachineRegistry machines;
  private final RoundTrigger rounds;
  private final MonotonicTime electedAt;
  private final Cloud cloud;
  private final Authority authority;
  private final LockedExecutor locked;
  private final BucketedRecords records;
  private final RetryPolicy retryPolicy = RetryPolicy.RECORDED_REQUESTS;

  /** Machines whose release is recorded and unanswered, the oldest first. */
  private final Set<Machine> due = new LinkedHashSet<>();

  /** Whether a request is in flight or waits for its retry. */
  private boolean requestPending;

  /** Creates a releaser without open releases. */
  public MachineReleaser(
      LeadershipContext context, MachineRegistry machines, MachineRemoval removal) {
    this.cloud = context.services().cloud();
    this.locked = new LockedExecutor(context.services().lock());
    this.authority = context.authority();
    this.executor = context.executor();
    this.rounds = context.rounds();
    this.records = context.bucketedRecords(Keys.RELEASES);
    this.electedAt = context.electedAt();
    this.machines = machines;
    this.removal = removal;
  }

  /** Continues the recorded releases of earlier leaders. */
  public void resume(Entry entry) {
    records.restore(entry, (name, value) -> resume(new MachineId(name)));
  }

  private void resume(MachineId id) {
    Machine machine = machines.findOrAdd(id, electedAt);
    machine.cloud().markReleasing();
    addDue(machine);
  }

  /** Releases a machine; nothing more is placed on it from now on. */
  public void release(Machine machine) {
    machine.cloud().markReleasing();
    records.put(machine.id().value(), BooleanNode.TRUE, () -> addDue(machine));
  }

  private void addDue(Machine machine) {
    due.add(machine);
    sendNext();
  }

  private void sendNext() {
    if (requestPending || due.isEmpty()) {
      return;
    }
    requestPending = true;
    if (!authority.valid()) {
      retryAfter(retryPolicy.failedDelayS());
      return;
    }
    List<Machine> batch = due.stream().limit(MAX_MACHINES).toList();
    List<MachineId> ids = new ArrayList<>();
    for (Machine machine : batch) {
      ids.add(machine.id());
    }
    locked.whenComplete(cloud.release(ids), outcome -> answered(batch, outcome));
  }

  private void answered(List<Machine> batch, Outcome<Integer> outcome) {
    if (!(outcome instanceof Outcome.Applied<Integer>)) {
      retryAfter(retryPolicy.delayS(outcome));
      return;
    }
    requestPending = false;
    for (Machine machine : batch) {
      due.remove(machine);
      removal.remove(machine);
      records.remove(machine.id().value());
    }
    rounds.requestRound();
    sendNext();
  }

  private void retryAfter(double seconds) {
    executor.later(seconds, this::retry);
  }

  private void retry() {
    requestPending = false;
    sendNext();
  }
}
