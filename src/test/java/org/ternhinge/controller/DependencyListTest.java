package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ternhinge.http.Response;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SubmissionBuilder;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Json;

/** Which dependency lists a submission may have, and how all others are refused. */
class DependencyListTest {
  private ClusterFixture cluster;

  /** Each list gets the same status at every node; accepted jobs end as done. */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "null, 201",
    "[], 201",
    "['wk-1'], 201",
    "['wk-1';'wk-1';'wk-1'], 201",
    "['wk-1';'wk-9'], 422",
    "['wk-2'], 422",
    "['wk-5'], 422",
    "'wk-1', 400",
    "{}, 400",
    "7, 400",
    "true, 400",
    "[null], 400",
    "[1], 400",
    "['1'], 400",
    "[''], 400",
    "['wk-'], 400",
    "['wk-1 '], 400",
    "[['wk-1']], 400"
  })
  void dependencyListIsAcceptedOrRefused(String list, int status) throws Exception {
    cluster = new ClusterFixture(331);
    cluster.submit("wk-1", 1, 5);
    cluster.users.submit(
        ClusterFixture.job("wk-5", 1, 0, List.of()).kind("daemon").spotAllowed(false));
    cluster.run(3);
    String text = list.replace('\'', '"').replace(';', ',');
    if (list.startsWith("wk")) {
      text = '"' + list + '"';
    }
    for (int node = 0; node < 3; node++) {
      SubmissionBuilder body =
          ClusterFixture.job(node == 0 ? "wk-2" : "wk-2" + node, 1, 5, List.of());
      if (text.contains("wk-2")) {
        text = "[\"" + body.id().value() + "\"]";
      }
      body.rawDependencies(
          Json.parse(("{\"x\":" + text + "}").getBytes(StandardCharsets.UTF_8)).get("x"));
      Response response =
          cluster.simulation.controllers.answerTo(node, "POST", "/submissions", body.bytes());
      assertNotNull(response, "node " + node);
      assertEquals(status, response.status(), "node " + node);
      if (status == 201) {
        cluster.users.submit(body);
      }
    }
    cluster.run(40);
    cluster.users.expectTimelyAnswers();
    cluster.run(60);
    cluster.assertNoViolations();
    cluster.users.accepted().stream()
        .filter(id -> !cluster.users.spec(id).isService())
        .forEach(id -> assertEquals("done", cluster.users.lastState(id)));
  }

  /** A list that exceeds the size of a record gets a definite answer within a second. */
  @ParameterizedTest
  @ValueSource(ints = {300, 1000, 4500})
  void oversizedListIsRefusedAtOnce(int names) {
    cluster = new ClusterFixture(332);
    List<JobId> dependencies = new ArrayList<>();
    for (int i = 0; i < names; i++) {
      dependencies.add(new JobId(String.format("wk-%07d", i)));
    }
    for (int node = 0; node < 3; node++) {
      byte[] body = ClusterFixture.job("wk-9000000" + node, 1, 5, dependencies).bytes();
      assertTrue(body.length < 64 * 1024);
      Response response =
          cluster.simulation.controllers.answerTo(node, "POST", "/submissions", body);
      assertNotNull(response, "no answer within a second");
      assertTrue(
          Set.of(400, 413, 422).contains(response.status()), "answered " + response.status());
    }
    cluster.assertNoViolations();
  }

  /**
   * Dependencies that ended long ago count as done, even with more ended jobs than any node caches.
   */
  @ParameterizedTest(name = "ends before {0}, after {1}, all crash: {2}")
  @CsvSource({"0, 0, false", "0, 0, true", "4500, 0, true", "0, 4500, true", "4500, 4500, false"})
  void dependenciesOnUncachedEndedJobsCountAsDone(int endsBefore, int endsAfter, boolean crash) {
    cluster = new ClusterFixture(341);
    cluster.simulation.storeEndRecords(endedJobs(2_000_000, endsBefore));
    JobId first = cluster.submit("wk-1", 2, 5);
    cluster.run(30);
    assertEquals("done", cluster.users.lastState(first));
    cluster.simulation.storeEndRecords(endedJobs(3_000_000, endsAfter));
    if (crash) {
      for (int i = 0; i < 3; i++) {
        cluster.simulation.controllers.crash(i, 1);
      }
      cluster.run(10);
    }
    List<JobSpec> uncached = endedJobs(4_000_000, 3);
    cluster.simulation.storeEndRecords(uncached);
    JobId second = cluster.submit("wk-2", 2, 5, first);
    SubmissionBuilder body =
        ClusterFixture.job("wk-3", 2, 5, uncached.stream().map(JobSpec::id).toList());
    cluster.users.submit(body);
    JobId third = body.id();
    cluster.run(60);
    if (endsBefore > 0) {
      cluster.users.submit(ClusterFixture.job("wk-4", 2, 5, List.of(new JobId("wk-2000000"))));
    }
    cluster.run(60);
    cluster.users.expectTimelyAnswers();
    cluster.run(30);
    cluster.assertNoViolations();
    for (JobId id : cluster.users.accepted()) {
      assertEquals("done", cluster.users.lastState(id), id.value());
    }
    assertTrue(
        cluster.simulation.tasks.firstStartOf(second).isPresent()
            && cluster.simulation.tasks.firstStartOf(third).isPresent());
  }

  private static List<JobSpec> endedJobs(int from, int count) {
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      jobs.add(SubmissionBuilder.job("wk-" + (from + i), "batch", 2).spec());
    }
    return jobs;
  }
}
