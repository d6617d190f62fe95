package org.ternhinge.scaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.ledger.Attempt;
import org.ternhinge.ledger.Job;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.machine.Machine;
import org.ternhinge.model.MachineId;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.wire.ListedMachine;

/** Reconciliation with listings of several pages, some of which the cloud's rate limit delays. */
class MachineInventoryTest {
  /** Twice the lag of the list, which is 10 s in the settings. */
  private static final double OLDEST_LIST_S = 20;

  private final ScalingFixture fixture = new ScalingFixture();
  private final MachineInventory inventory = fixture.inventory();

  /** Pages and their retries. */
  @Nested
  class Reading {
    /**
     * With two requests a second the second page is never permitted at once. When a listing was
     * started anew for that, one of more than a page was never complete.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
      "page, 0.1",
      "page held page, 0.5",
      "held page held held page, 1.5",
      "page held held held held held held held held held held page, 4",
      "page refused page page, 6",
      "page lost page page, 6",
      "refused refused page held page, 11"
    })
    void aListingIsCompleteInTheEnd(String script, double withinS) {
      fixture.cloud.listScript.addAll(List.of(script.split(" ")));
      inventory.list();
      fixture.runFor(withinS);
      assertTrue(fixture.isKnown(ScriptedCloud.FIRST), "the first page");
      assertTrue(fixture.isKnown(ScriptedCloud.LAST), "the last page");
    }

    @Test
    void aPageThatHasWaitedForLongGetsThePriorityOfProvisionRequests() {
      for (int i = 0; i < 20; i++) {
        fixture.cloud.listScript.add("held");
      }
      inventory.list();
      fixture.runFor(5);
      assertEquals(RequestPriority.QUERY, fixture.cloud.listPriorities.get(0));
      assertEquals(RequestPriority.ATTEMPT, fixture.cloud.listPriorities.get(15));
    }
  }

  /** What follows from a complete listing. */
  @Nested
  class Reconciliation {
    /**
     * A machine that is known and that no listing has shown is gone once a listing was started late
     * enough: otherwise the next leader counts on machines that the last one had requested.
     */
    @ParameterizedTest(name = "known for {0} s, {1}")
    @CsvSource({"0, , true", "15, , true", "21, , false", "21, held, false", "21, refused, true"})
    void aMachineThatNoListingShowsIsRemoved(
        double knownForS, String secondPage, boolean stillThere) {
      MachineId other = new MachineId("n-000500");
      fixture.leadership.machines.findOrAdd(other, fixture.leadership.now());
      fixture.runFor(knownForS);
      if (secondPage != null) {
        fixture.cloud.listScript.addAll(List.of("page", secondPage));
      }
      inventory.list();
      fixture.runFor(1);
      assertEquals(stillThere, fixture.isKnown(other));
      fixture.runFor(OLDEST_LIST_S + 10);
      assertFalse(fixture.isKnown(other), "gone in the end");
    }

    @Test
    void anUnexpectedMachineIsDescribedByItsListing() {
      inventory.list();
      Machine machine = fixture.leadership.machines.find(ScriptedCloud.FIRST).orElseThrow();
      assertTrue(machine.description().matches("small", "east", false));
      assertEquals(fixture.start.plusSeconds(-5), machine.cloud().provisionedAt());
      assertTrue(machine.cloud().isListedRunning());
    }

    @Test
    void aMachineThatWasRemovedIsNotAddedAgain() {
      fixture.leadership.machines.findOrAdd(ScriptedCloud.FIRST, fixture.start);
      fixture.leadership.machines.remove(ScriptedCloud.FIRST);
      inventory.list();
      assertFalse(fixture.isKnown(ScriptedCloud.FIRST));
      assertTrue(fixture.isKnown(ScriptedCloud.LAST));
    }

    @Test
    void aMachineThatIsListedAsFailedIsReleasedAndItsAttemptsAreClosed() {
      Machine machine = fixture.runningMachine(ScriptedCloud.FIRST.value());
      Job job = fixture.leadership.job(SubmissionJson.smallJob("wk-1", "batch", 1));
      Attempt attempt = fixture.leadership.open(job, 0, machine);
      fixture.cloud.listedState = ListedMachine.State.FAILED;
      inventory.list();
      assertTrue(machine.cloud().isTerminated());
      assertTrue(machine.cloud().isReleasing());
      assertFalse(job.openAttempts().contains(attempt));
    }
  }
}
