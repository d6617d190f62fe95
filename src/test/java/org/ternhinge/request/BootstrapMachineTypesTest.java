package org.ternhinge.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import org.junit.jupiter.api.Test;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.ledger.Keys;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.AsyncCalls;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.sim.DirectStore;
import org.ternhinge.sim.InMemoryStore;
import org.ternhinge.sim.SimClock;
import org.ternhinge.sim.SimMachineTypes;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.ListedMachine;
import org.ternhinge.wire.MachineType;
import org.ternhinge.wire.ProvisionRequest;

/** Sources from which a node loads the machine types. */
class BootstrapMachineTypesTest {
  private final SimClock clock = new SimClock();
  private final InMemoryStore core = new InMemoryStore(clock);
  private final DirectStore store = new DirectStore(core);
  private final MachineTypeCloud cloud = new MachineTypeCloud();
  private final List<List<MachineType>> loaded = new ArrayList<>();
  private final BootstrapMachineTypes types =
      new BootstrapMachineTypes(store, cloud, clock, new ReentrantLock(), loaded::add);

  /** A cloud that supports only the listing of its machine types and can be unavailable. */
  private static final class MachineTypeCloud implements Cloud {
    private boolean down;
    private int calls;

    @Override
    public CompletableFuture<Outcome<List<MachineType>>> machineTypes() {
      calls++;
      return CompletableFuture.completedFuture(
          down ? Outcome.notApplied(Reason.REFUSED, "503") : Outcome.applied(SimMachineTypes.ALL));
    }

    @Override
    public CompletableFuture<Outcome<List<MachineId>>> provision(ProvisionRequest request) {
      throw new AssertionError("unexpected call of provision");
    }

    @Override
    public CompletableFuture<Outcome<Integer>> release(List<MachineId> machines) {
      throw new AssertionError("unexpected call of release");
    }

    @Override
    public CompletableFuture<Outcome<ListedMachine.Page>> list(
        MachineId after, int limit, RequestPriority priority) {
      throw new AssertionError("unexpected call of list");
    }
  }

  private void assertLoaded() {
    assertEquals(List.of(SimMachineTypes.ALL), loaded);
    assertEquals(SimMachineTypes.ALL, List.copyOf(types.all()));
  }

  @Test
  void typesAreLoadedFromCloudOnceAndStored() {
    types.load();
    assertLoaded();
    cloud.down = true;
    loaded.clear();
    new BootstrapMachineTypes(store, cloud, clock, new ReentrantLock(), loaded::add).load();
    assertEquals(List.of(SimMachineTypes.ALL), loaded);
    assertEquals(1, cloud.calls, "the second node must read the copy");
  }

  @Test
  void unavailableCloudIsRetried() {
    cloud.down = true;
    types.load();
    clock.runFor(5);
    assertTrue(types.isEmpty());
    assertTrue(cloud.calls > 1);
    cloud.down = false;
    clock.runFor(2);
    assertLoaded();
  }

  @Test
  void unreadableCopyIsIgnored() {
    Change copy = new Change.Put(Keys.MACHINE_TYPES, Json.object().put("other", 1), 0);
    AsyncCalls.logExceptions(
        store.compareAndSwap(
            new CompareAndSwap(List.of(), List.of(copy)), RequestPriority.BOOKKEEPING));
    types.load();
    assertLoaded();
  }
}
