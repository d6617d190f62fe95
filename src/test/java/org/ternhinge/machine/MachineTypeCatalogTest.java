package org.ternhinge.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.leadership.LeadershipFixture;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.wire.ListedMachine;
import org.ternhinge.wire.MachineType;
import org.ternhinge.wire.ProvisionRequest;

/** Look-up and refresh of machine types. */
class MachineTypeCatalogTest {
  private static final MachineType SMALL = TestMachineTypes.type("small", 20, "east");
  private static final MachineType LARGE = TestMachineTypes.type("large", 30, "east");

  private final LeadershipFixture fixture = new LeadershipFixture();
  private final Deque<Outcome<List<MachineType>>> answers = new ArrayDeque<>();
  private int requests;

  private MachineTypeCatalog catalog(MachineType... known) {
    return new MachineTypeCatalog(new TypesOnlyCloud(), fixture.executor, List.of(known));
  }

  /**
   * A cloud that answers requests for machine types as scripted; further requests remain
   * unanswered.
   */
  private final class TypesOnlyCloud implements Cloud {
    @Override
    public CompletableFuture<Outcome<List<MachineType>>> machineTypes() {
      requests++;
      return answers.isEmpty()
          ? new CompletableFuture<>()
          : CompletableFuture.completedFuture(answers.remove());
    }

    @Override
    public CompletableFuture<Outcome<List<MachineId>>> provision(ProvisionRequest request) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Outcome<Integer>> release(List<MachineId> machines) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Outcome<ListedMachine.Page>> list(
        MachineId after, int limit, RequestPriority priority) {
      return new CompletableFuture<>();
    }
  }

  @Test
  void onlyKnownTypesAreFound() {
    MachineTypeCatalog catalog = catalog(SMALL);
    assertEquals(Optional.of(SMALL), catalog.find("small"));
    assertEquals(Optional.empty(), catalog.find("large"));
    assertFalse(catalog.isEmpty());
    assertTrue(catalog().isEmpty());
  }

  /** Each scheduling round looks up the type of every machine. */
  @Test
  void lookUpDoesNotAllocate() {
    MachineTypeCatalog catalog = catalog(SMALL);
    assertSame(catalog.find("small"), catalog.find("small"));
  }

  @Test
  void typeOfMachineIsUnknownUntilDescribed() {
    MachineTypeCatalog catalog = catalog(SMALL);
    Machine machine = fixture.addMachine("n-1");
    assertEquals(Optional.empty(), catalog.typeOf(machine));
    machine.setDescription(MachineDescription.of("small", "east", false, List.of("east")));
    assertEquals(Optional.of(SMALL), catalog.typeOf(machine));
  }

  @Test
  void typeWithSameNameIsReplacedInPlace() {
    MachineTypeCatalog catalog = catalog(SMALL, LARGE);
    MachineType changed = TestMachineTypes.type("small", 25, "east", "west");
    catalog.putAll(List.of(changed));
    assertEquals(Optional.of(changed), catalog.find("small"));
    assertEquals(List.of(changed, LARGE), List.copyOf(catalog.all()));
  }

  @Test
  void typesAreRefreshedAfterOneMinute() {
    answers.add(Outcome.applied(List.of(SMALL)));
    answers.add(Outcome.applied(List.of(LARGE)));
    MachineTypeCatalog catalog = catalog();
    catalog.refresh();
    assertEquals(List.of(SMALL), List.copyOf(catalog.all()));
    fixture.clock.runFor(59);
    assertEquals(1, requests);
    fixture.clock.runFor(2);
    assertEquals(List.of(SMALL, LARGE), List.copyOf(catalog.all()));
  }

  @Test
  void failedRefreshIsRetriedSooner() {
    answers.add(Outcome.notApplied(Reason.REFUSED, "unavailable"));
    answers.add(Outcome.unknown("no answer"));
    answers.add(Outcome.applied(List.of(SMALL)));
    MachineTypeCatalog catalog = catalog();
    catalog.refresh();
    fixture.clock.runFor(3.5);
    assertEquals(2, requests);
    assertTrue(catalog.isEmpty());
    fixture.clock.runFor(3);
    assertEquals(Optional.of(SMALL), catalog.find("small"));
  }
}
