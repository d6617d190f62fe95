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
 * Releases machines. A release is recorded before it is sent and retried until it is answered, so
 * that no leader places tasks on a machine that may disappear at any time. Releases are batched
 * because the cloud accepts few requests per second. Guarded by the controller's lock.
 */
public final class MachineReleaser {
  /** Maximum number of machines that the cloud releases per request. */
  private static final int MAX_BATCH_SIZE = 100;

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

  /** Machines whose release is recorded but unanswered, oldest first. */
  private final Set<Machine> pending = new LinkedHashSet<>();

  /** Whether a request is in flight or awaits its retry. */
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

  /** Resumes the recorded releases of earlier leaders. */
  public void resume(Entry entry) {
    records.restore(entry, (name, value) -> resume(new MachineId(name)));
  }

  private void resume(MachineId id) {
    Machine machine = machines.findOrAdd(id, electedAt);
    machine.cloud().markReleasing();
    enqueue(machine);
  }

  /** Releases a machine and excludes it from further placements. */
  public void release(Machine machine) {
    machine.cloud().markReleasing();
    records.put(machine.id().value(), BooleanNode.TRUE, () -> enqueue(machine));
  }

  private void enqueue(Machine machine) {
    pending.add(machine);
    sendNextBatch();
  }

  private void sendNextBatch() {
    if (requestPending || pending.isEmpty()) {
      return;
    }
    requestPending = true;
    if (!authority.isValid()) {
      retryAfter(retryPolicy.failedDelayS());
      return;
    }
    List<Machine> batch = pending.stream().limit(MAX_BATCH_SIZE).toList();
    List<MachineId> ids = new ArrayList<>();
    for (Machine machine : batch) {
      ids.add(machine.id());
    }
    locked.whenComplete(cloud.release(ids), outcome -> handleOutcome(batch, outcome));
  }

  private void handleOutcome(List<Machine> batch, Outcome<Integer> outcome) {
    if (!(outcome instanceof Outcome.Applied<Integer>)) {
      retryAfter(retryPolicy.delayS(outcome));
      return;
    }
    requestPending = false;
    for (Machine machine : batch) {
      pending.remove(machine);
      removal.remove(machine);
      records.remove(machine.id().value());
    }
    rounds.requestRound();
    sendNextBatch();
  }

  private void retryAfter(double seconds) {
    executor.schedule(seconds, this::retry);
  }

  private void retry() {
    requestPending = false;
    sendNextBatch();
  }
}
