package org.ternhinge.scaling;

import com.fasterxml.jackson.databind.node.BooleanNode;
import java.util.LinkedHashSet;
import java.util.List;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.ledger.Authority;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineRegistry;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.store.Entry;
import org.ternhinge.term.BucketedRecords;
import org.ternhinge.term.ControllerServices;
import org.ternhinge.term.LeadershipExecutor;
import org.ternhinge.term.RoundTrigger;

/**
 * Returns machines. A return is recorded before it is sent and repeated until answered, so that no
 * leader places anything on a machine that may vanish at any moment. All that are due go in one
 * call, since the cloud takes few calls a second. Guarded by the controller's lock.
 */
public final class MachineReleaser {
  /** Seconds until a call that failed, or that could not be made, is made again. */
  private static final double RETRY_S = 1.5;

  /** Seconds until a call that found the cloud's rate used up is made again. */
  private static final double RATE_LIMIT_RETRY_S = 0.3;

  /** Names that the cloud takes in one call. */
  private static final int MAX_NAMES = 100;

  private final MachineRemoval removal;
  private final LeadershipExecutor executor;
  private final MachineRegistry machines;
  private final RoundTrigger rounds;
  private final SteadyTime electedAt;
  private final Cloud cloud;
  private final Authority authority;
  private final LockedExecutor locked;
  private final BucketedRecords records;

  /** Machines whose return is recorded and not answered yet. */
  private final LinkedHashSet<Machine> due = new LinkedHashSet<>();

  /** Whether a call is under way or put off. */
  private boolean calling;

  /**
   * Creates a part that has nothing to return yet.
   *
   * @param records holds the returns that are not answered
   */
  public MachineReleaser(
      MachineRemoval removal,
      ControllerServices services,
      Authority authority,
      LeadershipExecutor executor,
      MachineRegistry machines,
      RoundTrigger rounds,
      BucketedRecords records,
      SteadyTime electedAt) {
    this.removal = removal;
    this.cloud = services.cloud();
    this.locked = new LockedExecutor(services.lock());
    this.authority = authority;
    this.executor = executor;
    this.machines = machines;
    this.rounds = rounds;
    this.records = records;
    this.electedAt = electedAt;
  }

  /** Goes on with what an earlier leader has begun. */
  public void resume(Entry entry) {
    records.known(entry, (name, value) -> resume(new MachineId(name)));
  }

  private void resume(MachineId id) {
    Machine machine = machines.findOrAdd(id, electedAt);
    machine.cloud().markReleasing();
    addDue(machine);
  }

  /** Returns a machine; nothing more is placed on it. */
  public void release(Machine machine) {
    machine.cloud().markReleasing();
    records.put(machine.id().value(), BooleanNode.TRUE, () -> addDue(machine));
  }

  private void addDue(Machine machine) {
    due.add(machine);
    call();
  }

  private void call() {
    if (calling || due.isEmpty()) {
      return;
    }
    calling = true;
    if (!authority.valid()) {
      retryAfter(RETRY_S);
      return;
    }
    List<Machine> named = due.stream().limit(MAX_NAMES).toList();
    List<MachineId> ids = named.stream().map(machine -> machine.id()).toList();
    locked.whenAnswered(cloud.release(ids), outcome -> answered(named, outcome));
  }

  private void answered(List<Machine> named, Outcome<Integer> outcome) {
    if (!(outcome instanceof Outcome.Applied<Integer>)) {
      boolean rateLimited = outcome != null && outcome.isBecause(Reason.RATE_LIMITED);
      retryAfter(rateLimited ? RATE_LIMIT_RETRY_S : RETRY_S);
      return;
    }
    calling = false;
    for (Machine machine : named) {
      due.remove(machine);
      removal.remove(machine);
      records.remove(machine.id().value());
    }
    rounds.requestRound();
    call();
  }

  private void retryAfter(double seconds) {
    executor.later(seconds, this::retry);
  }

  private void retry() {
    calling = false;
    call();
  }
}
