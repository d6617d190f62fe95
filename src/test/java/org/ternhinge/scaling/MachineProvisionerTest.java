package org.ternhinge.scaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.ledger.Keys;
import org.ternhinge.machine.Machine;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.schedule.Plan;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.store.Entry;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.ProvisionRequest;

/** Provision requests, their records and retries, and the resulting input of the planner. */
class MachineProvisionerTest {
  private static final Plan.ScaleOut WANTED = new Plan.ScaleOut("small", "east", true, 2);
  private static final MachineId FIRST = new MachineId("n-1");
  private static final MachineId SECOND = new MachineId("n-2");
  private static final List<MachineId> BOTH = List.of(FIRST, SECOND);

  private final ScalingFixture fixture = new ScalingFixture();
  private final MachineProvisioner provisioner = fixture.provisioner;
  private final ScaleOutOptions options =
      new ScaleOutOptions(
          List.of("east"), fixture.machineTypes, fixture.bootTimes, fixture.provisioner);

  /** Scripts the answers to provision requests; every successful answer names both machines. */
  private void scriptAnswers(String... words) {
    for (String word : words) {
      fixture.cloud.provisionAnswers.add(ScriptedCloud.outcome(word, () -> BOTH));
    }
  }

  private void provision() {
    provisioner.provision(WANTED);
    fixture.runFor(0.1);
  }

  private int requestsSent() {
    return fixture.cloud.provisionRequests.size();
  }

  /** Returns the number of requests recorded in the key-value store. */
  private int recordedRequests() {
    fixture.runFor(0.1);
    return fixture
        .leadership
        .storeCore
        .get(Keys.PROVISIONS + "0")
        .entry()
        .map(Entry::value)
        .map(JsonNode::size)
        .orElse(0);
  }

  private boolean isSpotOffered() {
    return options.offers(fixture.leadership.now()).stream().anyMatch(Snapshot.Offer::spot);
  }

  /** First sending and retries. */
  @Nested
  class Sending {
    @Test
    void requestIsSentOnceRecorded() {
      fixture.leadership.store.pauseWrites();
      provision();
      assertEquals(0, requestsSent());
      fixture.leadership.store.resume();
      fixture.runFor(0.1);
      assertEquals(
          List.of(new ProvisionRequest("t1-1", "small", "east", true, 2)),
          fixture.cloud.provisionRequests);
    }

    @Test
    void offerIsNotRequestedAgainBeforeAnswer() {
      provision();
      provision();
      assertEquals(1, requestsSent());
      provisioner.provision(new Plan.ScaleOut("small", "east", false, 1));
      fixture.runFor(0.1);
      assertEquals(2, requestsSent());
    }

    @Test
    void requestIsLimitedToMaximumCount() {
      provisioner.provision(new Plan.ScaleOut("small", "east", true, 1000));
      fixture.runFor(0.1);
      assertEquals(ProvisionRequest.MAX_COUNT, fixture.cloud.provisionRequests.get(0).count());
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({"limit, 0.3", "lost, 1.5"})
    void sameRequestIsResentAfterDelay(String word, double delayS) {
      scriptAnswers(word);
      provisioner.provision(WANTED);
      fixture.runFor(delayS - 0.05);
      assertEquals(1, requestsSent());
      fixture.runFor(0.1);
      assertEquals(2, requestsSent());
      assertEquals(fixture.cloud.provisionRequests.get(0), fixture.cloud.provisionRequests.get(1));
    }

    /** After a lost answer only a final refusal proves that no machine was provisioned. */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
      "refused, 1, 0",
      "invalid, 1, 0",
      "conflict, 1, 0",
      "lost refused, 3, 1",
      "lost invalid, 2, 0",
      "lost conflict, 2, 0"
    })
    void refusedRequestIsRemovedUnlessPossiblyApplied(String script, int sent, int stillRecorded) {
      scriptAnswers(script.split(" "));
      provision();
      fixture.runFor(4);
      assertEquals(sent, requestsSent());
      assertEquals(stillRecorded, recordedRequests());
    }
  }

  /** Removal of the record of a request. */
  @Nested
  class Completion {
    @Test
    void answerRegistersMachines() {
      scriptAnswers("machines");
      provision();
      Machine machine = fixture.leadership.machines.find(FIRST).orElseThrow();
      assertTrue(machine.description().matches("small", "east", true));
      assertTrue(fixture.isKnown(SECOND));
      assertEquals(1, recordedRequests());
    }

    @Test
    void recordIsKeptUntilAllMachinesAreSeen() {
      scriptAnswers("machines");
      provision();
      provisioner.markSeen(FIRST);
      assertEquals(1, recordedRequests());
      provisioner.markSeen(SECOND);
      assertEquals(0, recordedRequests());
    }

    @Test
    void machinesSeenBeforeAnswerAreNotAwaited() {
      fixture.runningMachine("n-1");
      fixture.leadership.machines.findOrAdd(SECOND, fixture.start);
      fixture.leadership.machines.remove(SECOND);
      scriptAnswers("machines");
      provision();
      assertEquals(0, recordedRequests());
      assertFalse(fixture.isKnown(SECOND));
    }

    @Test
    void requestOfEarlierLeaderIsResent() {
      ProvisionRequest request = new ProvisionRequest("t0-7", "small", "east", false, 2);
      ObjectNode record = Json.object().set("t0-7", request.write());
      provisioner.resume(
          new Entry(Keys.PROVISIONS + "0", record, fixture.leadership.authority.termRevision()));
      assertEquals(List.of(request), fixture.cloud.provisionRequests);
    }
  }

  /** Offers and pending requests. */
  @Nested
  class PlannerInput {
    @Test
    void requestIsPendingUntilAnswered() {
      scriptAnswers("lost", "machines");
      provision();
      assertEquals(
          List.of(
              new Snapshot.PendingProvision(
                  new Snapshot.Offer(ScalingFixture.SMALL, 0, "east", true, 2), 2)),
          options.pendingProvisions());
      fixture.runFor(2);
      assertEquals(List.of(), options.pendingProvisions());
    }

    @Test
    void spotAndOnDemandMachinesAreOfferedInEachKnownZone() {
      assertEquals(
          List.of(
              new Snapshot.Offer(ScalingFixture.SMALL, 0, "east", true, ProvisionRequest.MAX_COUNT),
              new Snapshot.Offer(
                  ScalingFixture.SMALL, 0, "east", false, ProvisionRequest.MAX_COUNT)),
          options.offers(fixture.start));
    }

    @Test
    void offerWithoutCapacityIsPaused() {
      scriptAnswers("refused");
      provision();
      assertFalse(isSpotOffered());
      fixture.runFor(6);
      assertTrue(isSpotOffered());
    }

    @Test
    void partiallyProvisionedOfferIsPaused() {
      fixture.cloud.provisionAnswers.add(Outcome.applied(List.of(FIRST)));
      provision();
      assertFalse(isSpotOffered());
    }

    @Test
    void fullyProvisionedOfferIsNotPaused() {
      scriptAnswers("machines");
      provision();
      assertTrue(isSpotOffered());
    }
  }
}
