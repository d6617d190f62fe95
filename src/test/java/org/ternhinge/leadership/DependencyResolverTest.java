package org.ternhinge.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Keys;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.wire.Json;

/** Reads of the final states of dependencies whose records can't be decoded. */
class DependencyResolverTest {
  /** More than the resolver reads at the same time. */
  private static final int UNREADABLE_RECORDS = 20;

  private final LeadershipFixture fixture = new LeadershipFixture();
  private int resolved;
  private final DependencyResolver resolver =
      new DependencyResolver(fixture.context, () -> resolved++);

  private static JobId dependency(int number) {
    return new JobId("wk-1" + number);
  }

  private Job addDependentOf(int number) {
    ObjectNode body = SubmissionJson.smallJob("wk-2" + number, "batch", 1);
    body.putArray("bidur_eftir").add(dependency(number).value());
    return fixture.addJob(body);
  }

  private void putFinalRecord(int number, ObjectNode value) {
    fixture.storeCore.compareAndSwap(
        new CompareAndSwap(
            List.of(), List.of(new Change.Put(Keys.finalRecord(dependency(number)), value, 0))));
  }

  /** Guards against unreadable records that use up the concurrent reads for ever. */
  @Test
  void unreadableFinalRecordsDoNotDelayOtherDependencies() {
    for (int i = 0; i < UNREADABLE_RECORDS; i++) {
      putFinalRecord(i, Json.object().put("s", "ended"));
      addDependentOf(i);
    }
    putFinalRecord(UNREADABLE_RECORDS, Json.object().put("s", "done").put("n", 1));
    Job ready = addDependentOf(UNREADABLE_RECORDS);
    resolver.resolvePending();
    fixture.clock.runFor(5);
    assertEquals(1, resolved);
    assertFalse(ready.hasUnmetDependencies(), "its dependency is done");
  }

  /** Guards against a job that starts although nobody knows how its dependency ended. */
  @Test
  void jobWaitsUntilFinalRecordIsReadable() {
    putFinalRecord(0, Json.object().put("n", 1));
    Job waiting = addDependentOf(0);
    resolver.resolvePending();
    fixture.clock.runFor(5);
    assertEquals(Optional.empty(), fixture.ledger.findFinalState(dependency(0)));
    assertTrue(waiting.hasUnmetDependencies());
    putFinalRecord(0, Json.object().put("s", "done").put("n", 1));
    fixture.clock.runFor(5);
    assertFalse(waiting.hasUnmetDependencies());
  }
}
