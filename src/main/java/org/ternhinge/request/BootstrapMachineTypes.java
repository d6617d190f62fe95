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
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.KeyCondition;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.wire.MachineType;
import org.ternhinge.wire.WireException;

/**
 * The machine types that a node loads once after its start, whether it leads or not. Submissions
 * can't be validated without them, so a copy is kept in the key-value store: a node that starts
 * during an outage of the cloud then does not depend on the cloud. A leadership has its own list in
 * {@link MachineTypeCatalog}, which is refreshed. All methods run under the controller's lock.
 */
public final class BootstrapMachineTypes {
  private static final Logger LOG = LoggerFactory.getLogger(BootstrapMachineTypes.class);

  /**
   * Delay in seconds before the next attempt if neither the store nor the cloud returned the types.
   */
  private static final double RETRY_S = 1;

  private final KeyValueStore store;
  private final Cloud cloud;
  private final Clock clock;
  private final LockedExecutor lockedExecutor;
  private final Consumer<List<MachineType>> onLoaded;
  private final Map<String, MachineType> byName = new LinkedHashMap<>();

  /**
   * Creates an empty set of types.
   *
   * @param lock the controller's lock
   * @param onLoaded receives the types once they are loaded
   */
  public BootstrapMachineTypes(
      KeyValueStore store,
      Cloud cloud,
      Clock clock,
      Lock lock,
      Consumer<List<MachineType>> onLoaded) {
    this.store = store;
    this.cloud = cloud;
    this.clock = clock;
    this.lockedExecutor = new LockedExecutor(lock);
    this.onLoaded = onLoaded;
  }

  /**
   * Loads the types from the key-value store, or else from the cloud, and retries until successful.
   */
  public void load() {
    lockedExecutor.whenComplete(
        store.get(Keys.MACHINE_TYPES, RequestPriority.BOOKKEEPING), this::handleStoreResponse);
  }

  /** Whether the types are not loaded yet. */
  public boolean isEmpty() {
    return byName.isEmpty();
  }

  /** All types by name, as an unmodifiable live view. */
  Map<String, MachineType> byName() {
    return Collections.unmodifiableMap(byName);
  }

  /** All types, as an unmodifiable live view. */
  public Collection<MachineType> all() {
    return byName().values();
  }

  private void handleStoreResponse(Outcome<KeyValueStore.ReadResult> outcome) {
    if (outcome instanceof Outcome.Applied<KeyValueStore.ReadResult> read
        && read.value().entry().isPresent()) {
      try {
        finishLoading(MachineType.readAll(read.value().entry().get().value()));
        return;
      } catch (WireException e) {
        LOG.warn(
            "can't decode the machine types in the key-value store, loading them from the cloud: {}",
            e.getMessage());
      }
    }
    lockedExecutor.whenComplete(cloud.machineTypes(), this::handleCloudResponse);
  }

  private void handleCloudResponse(Outcome<List<MachineType>> outcome) {
    if (outcome instanceof Outcome.Applied<List<MachineType>> applied) {
      finishLoading(applied.value());
      storeCopy(applied.value());
    } else {
      clock.schedule(RETRY_S, lockedExecutor.guarded(this::load));
    }
  }

  private void finishLoading(List<MachineType> types) {
    types.forEach(type -> byName.put(type.name(), type));
    onLoaded.accept(types);
  }

  /**
   * Stores the copy. A failure is ignored, since another node may have stored the same copy
   * already.
   */
  private void storeCopy(List<MachineType> types) {
    Change copy = new Change.Put(Keys.MACHINE_TYPES, MachineType.writeAll(types), 0);
    CompareAndSwap compareAndSwap =
        new CompareAndSwap(List.of(KeyCondition.absent(Keys.MACHINE_TYPES)), List.of(copy));
    AsyncCalls.logExceptions(store.compareAndSwap(compareAndSwap, RequestPriority.BOOKKEEPING));
  }
}
