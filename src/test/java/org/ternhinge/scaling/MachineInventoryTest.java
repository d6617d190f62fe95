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

/** Reconciliation with paged listings, some pages of which are rate-limited. */
class MachineInventoryTest {
  /** Twice the listing lag, which is 10 s in the settings. */
  private static final double MAX_LISTING_AGE_S = 20;

  private final ScalingFixture fixture = new ScalingFixture();
  private final MachineInventory inventory = fixture.inventory();

  /** Pages and their retries. */
  @Nested
  class PagedListing {
    /**
     * At two requests per second the second page is never permitted immediately. If a rate-limited
     * page restarted the listing, one of more than a page would never complete.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
      "page, 0.1",
      "page limit page, 0.5",
      "limit page limit limit page, 1.5",
      "page limit limit limit limit limit limit limit limit limit limit page, 4",
      "page refused page page, 6",
      "page lost page page, 6",
      "refused refused page limit page, 11"
    })
    void listingEventuallyCompletes(String script, double withinS) {
      fixture.cloud.listScript.addAll(List.of(script.split(" ")));
      inventory.start();
      fixture.runFor(withinS);
      assertTrue(fixture.isKnown(ScriptedCloud.FIRST), "machine of the first page registered");
      assertTrue(fixture.isKnown(ScriptedCloud.LAST), "machine of the last page registered");
    }

    @Test
    void longDelayedPageGetsPriorityOfProvisionRequests() {
      for (int i = 0; i < 20; i++) {
        fixture.cloud.listScript.add("limit");
      }
      inventory.start();
      fixture.runFor(5);
      assertEquals(RequestPriority.QUERY, fixture.cloud.listPriorities.get(0));
      assertEquals(RequestPriority.ATTEMPT, fixture.cloud.listPriorities.get(15));
    }
  }

  /** Effects of a complete listing. */
  @Nested
  class Reconciliation {
    /**
     * A known machine that no listing has contained is gone once a listing started late enough. If
     * it stayed registered, a new leader would count on machines that its predecessor requested.
     */
    @ParameterizedTest(name = "known for {0} s, {1}")
    @CsvSource({"0, , true", "15, , true", "21, , false", "21, limit, false", "21, refused, true"})
    void unlistedMachineIsRemoved(double knownForS, String secondPage, boolean registered) {
      MachineId other = new MachineId("n-000500");
      fixture.leadership.machines.findOrAdd(other, fixture.leadership.now());
      fixture.runFor(knownForS);
      if (secondPage != null) {
        fixture.cloud.listScript.addAll(List.of("page", secondPage));
      }
      inventory.start();
      fixture.runFor(1);
      assertEquals(registered, fixture.isKnown(other));
      fixture.runFor(MAX_LISTING_AGE_S + 10);
      assertFalse(fixture.isKnown(other), "still registered after a later listing");
    }

    @Test
    void unexpectedMachineIsDescribedByListing() {
      inventory.start();
      Machine machine = fixture.leadership.machines.find(ScriptedCloud.FIRST).orElseThrow();
      assertTrue(machine.description().matches("small", "east", false));
      assertEquals(fixture.start.plusSeconds(-5), machine.cloud().provisionedAt());
      assertTrue(machine.cloud().isListedRunning());
    }

    @Test
    void removedMachineIsNotAddedAgain() {
      fixture.leadership.machines.findOrAdd(ScriptedCloud.FIRST, fixture.start);
      fixture.leadership.machines.remove(ScriptedCloud.FIRST);
      inventory.start();
      assertFalse(fixture.isKnown(ScriptedCloud.FIRST));
      assertTrue(fixture.isKnown(ScriptedCloud.LAST));
    }

    @Test
    void machineListedAsFailedIsReleasedAndItsAttemptsClosed() {
      Machine machine = fixture.runningMachine(ScriptedCloud.FIRST.value());
      Job job = fixture.leadership.addJob(SubmissionJson.smallJob("wk-1", "batch", 1));
      Attempt attempt = fixture.leadership.openAttempt(job, 0, machine);
      fixture.cloud.listedState = ListedMachine.State.FAILED;
      inventory.start();
      assertTrue(machine.cloud().isTerminated());
      assertTrue(machine.cloud().isReleasing());
      assertFalse(job.openAttempts().contains(attempt));
    }
  }
}
