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

/** Which dependencies a submission may name, and how any others are refused. */
class DependencyNamesTest {
  private DependentJobs cluster;

  /** Each list gets the same status at every node; accepted jobs are done in the end. */
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
  void listsOfNames(String list, int status) throws Exception {
    cluster = new DependentJobs(331);
    cluster.submit("wk-1", 1, 5);
    cluster.users.submit(
        DependentJobs.job("wk-5", 1, 0, List.of()).kind("daemon").spotAllowed(false));
    cluster.run(3);
    String text = list.replace('\'', '"').replace(';', ',');
    if (list.startsWith("wk")) {
      text = '"' + list + '"';
    }
    for (int node = 0; node < 3; node++) {
      SubmissionBuilder body =
          DependentJobs.job(node == 0 ? "wk-2" : "wk-2" + node, 1, 5, List.of());
      if (text.contains("wk-2")) {
        text = "[\"" + body.id().value() + "\"]";
      }
      body.rawDependencies(
          Json.parse(("{\"x\":" + text + "}").getBytes(StandardCharsets.UTF_8)).get("x"));
      Response response =
          cluster.world.controllers.answerTo(node, "POST", "/submissions", body.bytes());
      assertNotNull(response, "node " + node);
      assertEquals(status, response.status(), "node " + node);
      if (status == 201) {
        cluster.users.submit(body);
      }
    }
    cluster.run(40);
    cluster.users.expectTimelyAnswers();
    cluster.run(60);
    cluster.assertNoRuleBroken();
    cluster.users.accepted().stream()
        .filter(id -> !cluster.users.spec(id).isService())
        .forEach(id -> assertEquals("done", cluster.users.lastState(id)));
  }

  /** A list that no record could hold gets a definite answer at once. */
  @ParameterizedTest
  @ValueSource(ints = {300, 1000, 4500})
  void absurdlyLongLists(int names) {
    cluster = new DependentJobs(332);
    List<JobId> named = new ArrayList<>();
    for (int i = 0; i < names; i++) {
      named.add(new JobId(String.format("wk-%07d", i)));
    }
    for (int node = 0; node < 3; node++) {
      byte[] body = DependentJobs.job("wk-9000000" + node, 1, 5, named).bytes();
      assertTrue(body.length < 64 * 1024);
      Response response = cluster.world.controllers.answerTo(node, "POST", "/submissions", body);
      assertNotNull(response, "an answer within a second");
      assertTrue(
          Set.of(400, 413, 422).contains(response.status()), "answered " + response.status());
    }
    cluster.assertNoRuleBroken();
  }

  /** Jobs that ended long ago, more than any node caches, still count as done. */
  @ParameterizedTest(name = "ends before {0}, after {1}, all crash: {2}")
  @CsvSource({"0, 0, false", "0, 0, true", "4500, 0, true", "0, 4500, true", "4500, 4500, false"})
  void namesOfJobsThatEndedLongAgo(int before, int after, boolean crash) {
    cluster = new DependentJobs(341);
    cluster.world.storeEndRecords(ends(2_000_000, before));
    JobId first = cluster.submit("wk-1", 2, 5);
    cluster.run(30);
    assertEquals("done", cluster.users.lastState(first));
    cluster.world.storeEndRecords(ends(3_000_000, after));
    if (crash) {
      for (int i = 0; i < 3; i++) {
        cluster.world.controllers.crash(i, 1);
      }
      cluster.run(10);
    }
    List<JobSpec> old = ends(4_000_000, 3);
    cluster.world.storeEndRecords(old);
    JobId second = cluster.submit("wk-2", 2, 5, first);
    SubmissionBuilder body =
        DependentJobs.job("wk-3", 2, 5, old.stream().map(JobSpec::id).toList());
    cluster.users.submit(body);
    JobId third = body.id();
    cluster.run(60);
    if (before > 0) {
      cluster.users.submit(DependentJobs.job("wk-4", 2, 5, List.of(new JobId("wk-2000000"))));
    }
    cluster.run(60);
    cluster.users.expectTimelyAnswers();
    cluster.run(30);
    cluster.assertNoRuleBroken();
    for (JobId id : cluster.users.accepted()) {
      assertEquals("done", cluster.users.lastState(id), id.value());
    }
    assertTrue(
        cluster.world.tasks.firstStartOf(second).isPresent()
            && cluster.world.tasks.firstStartOf(third).isPresent());
  }

  private static List<JobSpec> ends(int from, int count) {
    List<JobSpec> out = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      out.add(SubmissionBuilder.job("wk-" + (from + i), "batch", 2).spec());
    }
    return out;
  }
}
