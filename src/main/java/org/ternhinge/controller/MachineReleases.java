package org.ternhinge.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.concurrent.locks.Lock;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.ledger.Authority;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.state.Entry;

/**
 * Returns machines. A return is recorded before it is sent and repeated until answered, so that no
 * leader places anything on a machine that may vanish at any moment. All that are due go in one
 * call: the cloud takes few calls a second and up to a hundred names in each.
 */
final class MachineReleases {
  private static final double RETRY_S = 1.5;
  private static final int MOST_NAMES = 100;

  private final MachineRemoval removal;
  private final LeadershipExecutor executor;
  private final MachineRegistry machines;
  private final RoundTrigger rounds;
  private final SteadyTime electedAt;
  private final Cloud cloud;
  private final Authority authority;
  private final Lock lock;
  private final PackedRecords record;
  private final LinkedHashSet<Machine> due = new LinkedHashSet<>();
  private boolean calling;

  MachineReleases(
      MachineRemoval removal,
      ControllerServices services,
      Authority authority,
      LeadershipExecutor executor,
      MachineRegistry machines,
      RoundTrigger rounds,
      PackedRecords record,
      SteadyTime electedAt) {
    this.removal = removal;
    this.executor = executor;
    this.machines = machines;
    this.rounds = rounds;
    this.electedAt = electedAt;
    this.cloud = services.cloud();
    this.authority = authority;
    this.lock = services.lock();
    this.record = record;
  }

  /** Goes on with what an earlier leader has begun. */
  void resume(Entry entry) {
    record.known(
        entry,
        (name, value) -> {
          Machine m = machines.findOrAdd(new MachineId(name), electedAt);
          m.releasing = true;
          due(m);
        });
  }

  void release(Machine m) {
    m.releasing = true;
    JsonNode noted = BooleanNode.TRUE;
    record.put(m.id.value(), noted, () -> due(m));
  }

  private void due(Machine m) {
    due.add(m);
    call();
  }

  private void call() {
    if (calling || due.isEmpty()) {
      return;
    }
    calling = true;
    if (!authority.valid()) {
      again();
      return;
    }
    List<Machine> some = new ArrayList<>();
    for (Machine m : due) {
      if (some.size() < MOST_NAMES) {
        some.add(m);
      }
    }
    cloud.release(some.stream().map(m -> m.id).toList()).whenComplete((o, e) -> answered(some, o));
  }

  private void answered(List<Machine> some, Outcome<Integer> outcome) {
    lock.lock();
    try {
      if (!(outcome instanceof Outcome.Applied<Integer>)) {
        again();
        return;
      }
      calling = false;
      for (Machine m : some) {
        due.remove(m);
        removal.remove(m);
        record.remove(m.id.value());
      }
      rounds.requestRound();
      call();
    } finally {
      lock.unlock();
    }
  }

  private void again() {
    executor.later(
        RETRY_S,
        () -> {
          calling = false;
          call();
        });
  }
}
