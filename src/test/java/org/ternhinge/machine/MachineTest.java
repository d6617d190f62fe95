package org.ternhinge.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Resources;
import org.ternhinge.schedule.Snapshot;

/** The cached planner view of a machine and the state it depends on. */
class MachineTest {
  private static final MonotonicTime NOW = new MonotonicTime(0);
  private static final JobId JOB = new JobId("wk-1");
  private static final JobId OTHER_JOB = new JobId("wk-2");

  private final Machine machine = new Machine(new MachineId("n-1"), NOW, NOW.plusSeconds(30));
  private int viewsBuilt;

  private Snapshot.MachineView view(boolean ready) {
    return machine.view(ready, () -> buildView(ready));
  }

  private Snapshot.MachineView buildView(boolean ready) {
    viewsBuilt++;
    return new Snapshot.MachineView(
        machine.id(),
        null,
        machine.description().zone(),
        machine.description().zoneName(),
        machine.description().spot(),
        Resources.ZERO,
        ready,
        machine.images(),
        machine.idleSince(),
        machine.cloud().provisionedAt(),
        List.of(),
        List.of());
  }

  private static Machine.Reservation reservation(JobId job, double untilS) {
    return new Machine.Reservation(job, Resources.ofCapacity(1, 0, 1), NOW.plusSeconds(untilS));
  }

  /** Invalidation of the cached view. */
  @Nested
  class CachedView {
    @BeforeEach
    void prepareView() {
      machine.recordImageUse("old", 1, 10);
      machine.reserve(reservation(JOB, 10));
      view(true);
      viewsBuilt = 0;
    }

    static Stream<Named<Consumer<Machine>>> changes() {
      return Stream.of(
          Named.of("description", m -> m.setDescription(MachineDescription.UNKNOWN)),
          Named.of("provision time", m -> m.setProvisionedAt(NOW)),
          Named.of("tasks", m -> m.setTasks(List.of())),
          Named.of("new image", m -> m.recordImageUse("new", 1, 10)),
          Named.of("idle time", m -> m.markIdle(NOW)),
          Named.of("new reservation", m -> m.reserve(reservation(OTHER_JOB, 10))),
          Named.of("dropped reservation", m -> m.removeReservation(JOB)),
          Named.of("expired reservation", m -> m.removeExpiredReservations(NOW.plusSeconds(11))),
          Named.of("attempts", Machine::invalidateView));
    }

    @ParameterizedTest
    @MethodSource("changes")
    void isRebuiltAfterChange(Consumer<Machine> change) {
      change.accept(machine);
      view(true);
      assertEquals(1, viewsBuilt);
    }

    static Stream<Named<Consumer<Machine>>> nonChanges() {
      return Stream.of(
          Named.of("nothing", m -> {}),
          Named.of("an image that it holds", m -> m.recordImageUse("old", 1, 10)),
          Named.of("a reservation of another job", m -> m.removeReservation(OTHER_JOB)),
          Named.of(
              "a reservation that lasts", m -> m.removeExpiredReservations(NOW.plusSeconds(10))));
    }

    @ParameterizedTest
    @MethodSource("nonChanges")
    void isKeptWithoutChange(Consumer<Machine> nonChange) {
      Snapshot.MachineView before = view(true);
      nonChange.accept(machine);
      assertSame(before, view(true));
      assertEquals(0, viewsBuilt);
    }

    @Test
    void isRebuiltWhenReadinessChanges() {
      assertFalse(view(false).ready());
      assertTrue(view(true).ready());
      assertEquals(2, viewsBuilt);
    }
  }

  /** Resources reserved for jobs. */
  @Nested
  class Reservations {
    @Test
    void areRemovedOneAtATime() {
      machine.reserve(reservation(JOB, 10));
      machine.reserve(reservation(OTHER_JOB, 10));
      machine.reserve(reservation(JOB, 20));
      machine.removeReservation(JOB);
      assertEquals(
          List.of(reservation(OTHER_JOB, 10), reservation(JOB, 20)), machine.reservations());
    }

    @Test
    void expireAfterEndTime() {
      machine.reserve(reservation(JOB, 10));
      machine.reserve(reservation(OTHER_JOB, 20));
      assertFalse(machine.removeExpiredReservations(NOW.plusSeconds(10)));
      assertTrue(machine.removeExpiredReservations(NOW.plusSeconds(11)));
      assertEquals(List.of(reservation(OTHER_JOB, 20)), machine.reservations());
    }

    @Test
    void areUnmodifiable() {
      List<Machine.Reservation> view = machine.reservations();
      assertThrows(UnsupportedOperationException.class, () -> view.add(reservation(JOB, 10)));
    }
  }

  @Test
  void newMachineIsIdleAndUnknown() {
    assertFalse(machine.description().isKnown());
    assertEquals(NOW, machine.idleSince());
    assertEquals(List.of(), machine.tasks());
    assertEquals(Set.of(), machine.images());
    assertEquals(NOW.plusSeconds(30), machine.agent().leaseExpiry());
  }

  @Test
  void eachReplacementOfTasksIncrementsRevision() {
    long before = machine.tasksRevision();
    machine.setTasks(List.of());
    machine.setTasks(List.of());
    assertEquals(before + 2, machine.tasksRevision());
  }
}
