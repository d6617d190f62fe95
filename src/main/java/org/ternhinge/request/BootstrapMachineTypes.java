package org.ternhinge.request;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.ledger.Keys;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.machine.MachineTypeCatalog;
import org.ternhinge.model.AsyncCalls;
import org.ternhinge.model.Clock;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Revision;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.wire.MachineType;
import org.ternhinge.wire.WireException;

/**
 * The machine types that a node knows from its start on, whether it leads or not. No submission can
 * be judged before, so a copy is kept in the key-value store: a node that starts while the cloud is
 * down need not wait for it. A leadership keeps its own, later list in {@link MachineTypeCatalog}.
 * All methods run under the controller's lock.
 */
public final class BootstrapMachineTypes {
  private static final Logger LOG = LoggerFactory.getLogger(BootstrapMachineTypes.class);
  private static final double RETRY_S = 1;

  private final KeyValueStore store;
  private final Cloud cloud;
  private final Clock clock;
  private final LockedExecutor locked;
  private final Consumer<List<MachineType>> learned;
  private final Map<String, MachineType> byName = new LinkedHashMap<>();

  /**
   * Creates an empty set of types.
   *
   * @param learned hears of the types once they are known
   */
  public BootstrapMachineTypes(
      KeyValueStore store,
      Cloud cloud,
      Clock clock,
      Lock lock,
      Consumer<List<MachineType>> learned) {
    this.store = store;
    this.cloud = cloud;
    this.clock = clock;
    this.locked = new LockedExecutor(lock);
    this.learned = learned;
  }

  /** Loads the types, and tries again until it has them. */
  public void load() {
    locked.whenAnswered(
        store.get(Keys.MACHINE_TYPES, RequestPriority.BOOKKEEPING), this::storeAnswered);
  }

  public boolean isEmpty() {
    return byName.isEmpty();
  }

  Map<String, MachineType> byName() {
    return Collections.unmodifiableMap(byName);
  }

  public Collection<MachineType> all() {
    return byName().values();
  }

  private void storeAnswered(Outcome<KeyValueStore.Read> outcome) {
    if (outcome instanceof Outcome.Applied<KeyValueStore.Read> read
        && read.value().entry().isPresent()) {
      try {
        learn(MachineType.readAll(read.value().entry().get().value()));
        return;
      } catch (WireException e) {
        LOG.warn("stored machine types are unreadable: {}", e.getMessage());
      }
    }
    locked.whenAnswered(cloud.machineTypes(), this::cloudAnswered);
  }

  private void cloudAnswered(Outcome<List<MachineType>> outcome) {
    if (outcome instanceof Outcome.Applied<List<MachineType>> applied) {
      learn(applied.value());
      keepCopy(applied.value());
    } else {
      clock.after(RETRY_S, locked.guarded(this::load));
    }
  }

  private void learn(List<MachineType> types) {
    types.forEach(type -> byName.put(type.name(), type));
    learned.accept(types);
  }

  /** Another node's copy is as good, so a failure of the write does not matter. */
  private void keepCopy(List<MachineType> types) {
    Change copy = new Change.Put(Keys.MACHINE_TYPES, MachineType.writeAll(types), 0);
    CompareAndSwap compareAndSwap =
        new CompareAndSwap(Map.of(Keys.MACHINE_TYPES, Revision.NONE), List.of(copy));
    AsyncCalls.ignore(store.compareAndSwap(compareAndSwap, RequestPriority.BOOKKEEPING));
  }
}
