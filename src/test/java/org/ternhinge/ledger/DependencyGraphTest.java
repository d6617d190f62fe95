package org.ternhinge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.Team;
import org.ternhinge.ledger.Ledger.Placement;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.AttemptNumber;
import org.ternhinge.model.JobId;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Revision;
import org.ternhinge.sim.SimClock;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.JobState;
import org.ternhinge.wire.JobState.Phase;

/** The state of a dependent job is derived from the durable state of its dependencies. */
class DependencyGraphTest {
  private static final int VALUE_BYTES = 8 * 1024;

  private final SimClock clock = new SimClock();
  private final Ledger ledger =
      new Ledger(Map.of("red", new Team("red", 0, 0, 0, 0)), VALUE_BYTES, clock);
  private final Map<String, Job> jobs = new HashMap<>();

  private static JobId id(String name) {
    return new JobId("wk-" + name);
  }

  private Job accept(String name, String priority, String... dependencies) {
    ObjectNode json = SubmissionJson.smallJob("wk-" + name, "batch", 2).put("forgang", priority);
    ArrayNode ids = json.putArray("bidur_eftir");
    for (String dependency : dependencies) {
      ids.add("wk-" + dependency);
    }
    JobSpec spec = SubmissionJson.parse(json);
    Job job = new Job(spec, 1, RecordSize.segmentSize(spec, VALUE_BYTES));
    jobs.put(name, job);
    ledger.add(job);
    return job;
  }

  /** {@code 2<1} means that 2 depends on 1, {@code 4<2.3} that 4 depends on 2 and 3. */
  private void acceptAll(String graph) {
    for (String item : graph.split(" ", -1)) {
      String[] parts = item.split("<", -1);
      accept(parts[0], "normal", parts.length > 1 ? parts[1].split("\\.", -1) : new String[0]);
    }
  }

  private AdmissionRefusal refusal(Job job) {
    List<Placement> one = List.of(new Placement(0, TestMachines.on("n-1", 1)));
    return ledger.admit(job, one, t -> false).orElse(null);
  }

  private String states() {
    List<String> out = new ArrayList<>();
    jobs.keySet().stream()
        .sorted()
        .forEach(
            name -> {
              String state =
                  ledger.findState(jobs.get(name)).map(s -> s.phase().wireName()).orElse("unknown");
              out.add(name + ":" + state);
            });
    return String.join(" ", out);
  }

  private void end(String name, Phase phase) {
    Job job = jobs.get(name);
    if (phase == Phase.CANCELLED) {
      ledger.cancel(job);
    }
    ledger.markEnded(job);
    jobs.remove(name);
  }

  @ParameterizedTest(name = "{0}: {1}")
  @CsvSource({
    "1 2<1 3<2, requested 1, 1:unknown 2:unknown 3:unknown",
    "1 2<1 3<2, durable 1, 1:cancelled 2:cancelled 3:cancelled",
    "1 2<1 3<2, durable 2, 1:queued 2:cancelled 3:cancelled",
    "1 2<1 3<1 4<2.3, durable 3, 1:queued 2:queued 3:cancelled 4:cancelled",
    "1 2<1 3<1 4<2.3, requested 3, 1:queued 2:queued 3:unknown 4:unknown",
    "1 2<1 3<2, ended 1, 2:cancelled 3:cancelled",
    "1 2<1 3<2, done 1, 2:queued 3:queued",
    "2<1 3<2, read cancelled 1, 2:cancelled 3:cancelled",
    "2<1 3<2, read done 1, 2:queued 3:queued",
    "2<1 3<2, nothing 1, 2:unknown 3:unknown",
    "1 2<1.9 3<2, durable 1, 1:cancelled 2:cancelled 3:cancelled"
  })
  void stateIsDerivedFromDependencies(String graph, String event, String expected) {
    acceptAll(graph);
    String[] words = event.split(" ", -1);
    String name = words[words.length - 1];
    switch (words[0]) {
      case "requested" -> ledger.cancel(open(name));
      case "durable" -> {
        ledger.cancel(open(name));
        ledger.markCancellationDurable(jobs.get(name));
      }
      case "ended" -> end(name, Phase.CANCELLED);
      case "done" -> end(name, Phase.DONE);
      case "read" -> {
        Phase phase = words[1].equals("done") ? Phase.DONE : Phase.CANCELLED;
        ledger.resolveEnd(new JobState(id(name), phase, 0, 0));
      }
      default -> {}
    }
    assertEquals(expected, states());
  }

  /** Opens an attempt of a job, so that the job is not finished when it is cancelled. */
  private Job open(String name) {
    Job job = jobs.get(name);
    if (!job.hasUnmetDependencies()) {
      AttemptNumber number = job.highestAttempt().next();
      job.setHighestAttempt(number);
      MachineId machine = new MachineId("n-7");
      job.openAttemptsByTask()
          .put(0, new Attempt(job, 0, number, machine, new AgentEpoch(1), 0, true, clock.now()));
    }
    return job;
  }

  @Test
  void startRequiresDurableEndOfAllDependencies() {
    acceptAll("1 2 3<1.2");
    Job last = jobs.get("3");
    assertEquals(AdmissionRefusal.UNMET_DEPENDENCIES, refusal(last));
    end("1", Phase.DONE);
    assertEquals(AdmissionRefusal.UNMET_DEPENDENCIES, refusal(last));
    assertFalse(ledger.dependencies().drainReady());
    end("2", Phase.DONE);
    assertTrue(ledger.dependencies().drainReady());
    assertNull(refusal(last));
  }

  /**
   * The final state of a dependency that is not cached is requested once, no matter how many jobs
   * depend on it, and again if it could not be read.
   */
  @Test
  void uncachedFinalStateIsRequestedOnce() {
    acceptAll("2<1 3<1 4<1");
    assertEquals(Optional.of(id("1")), ledger.dependencies().pollUnresolved());
    assertEquals(Optional.empty(), ledger.dependencies().pollUnresolved());
    assertEquals(AdmissionRefusal.UNMET_DEPENDENCIES, refusal(jobs.get("3")));
    ledger.dependencies().retryUnresolved(id("1"));
    assertEquals(Optional.of(id("1")), ledger.dependencies().pollUnresolved());
    ledger.resolveEnd(new JobState(id("1"), Phase.DONE, 2, 0));
    assertNull(refusal(jobs.get("3")));
    accept("5", "normal", "1");
    assertNull(refusal(jobs.get("5")), "final state is cached");
  }

  /** A watch may deliver a job after its dependent, and a load delivers jobs in order of names. */
  @Test
  void resultDoesNotDependOnOrderOfAddition() {
    accept("2", "high", "1");
    accept("1", "low");
    assertEquals(Optional.empty(), ledger.dependencies().pollUnresolved());
    assertEquals("high", jobs.get("1").plannedSpec().priority().wireName());
    assertEquals("low", jobs.get("1").spec().priority().wireName(), "specification is unchanged");
    end("1", Phase.DONE);
    assertNull(refusal(jobs.get("2")));
  }

  @Test
  void priorityIsInheritedTransitivelyAndNeverLowered() {
    accept("1", "low");
    accept("2", "normal", "1");
    accept("3", "low", "2");
    assertEquals("normal", jobs.get("1").plannedSpec().priority().wireName());
    assertEquals("normal", jobs.get("2").plannedSpec().priority().wireName());
    accept("4", "high", "3");
    for (String name : List.of("1", "2", "3")) {
      assertEquals("high", jobs.get(name).plannedSpec().priority().wireName());
    }
  }

  /** An earlier leader started the job, so all dependencies were done and none is looked up. */
  @Test
  void startedJobHasNoUnmetDependencies() throws Exception {
    ObjectNode json = SubmissionJson.smallJob("wk-2", "batch", 2);
    json.putArray("bidur_eftir").add("wk-1");
    ObjectNode record = RecordCodec.encodeNew(SubmissionJson.parse(json), 1, VALUE_BYTES);
    record.put("h", 3);
    Job job = RecordCodec.decodeFirst(record, new Revision(1), clock.now());
    assertEquals(List.of(), RecordCodec.unstartedDependencies(record));
    ledger.add(job);
    assertEquals(Optional.empty(), ledger.dependencies().pollUnresolved());
    assertNull(refusal(job));
  }

  @Test
  void thousandsOfDependentsAreCancelledImmediately() {
    accept("0", "normal");
    for (int i = 1; i <= 3000; i++) {
      accept(String.valueOf(i), "normal", String.valueOf(i % 3 == 0 ? i - 1 : 0));
    }
    ledger.cancel(open("0"));
    ledger.markCancellationDurable(jobs.get("0"));
    jobs.values()
        .forEach(j -> assertEquals(Phase.CANCELLED, ledger.findState(j).orElseThrow().phase()));
  }
}
