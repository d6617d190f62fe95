package org.ternhinge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.TextNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SubmissionBuilder;

/**
 * Runs three processes of the packaged program on loopback, with fakes of the external services.
 */
class LoopbackIT {
  @RegisterExtension final ProcessLogs processLogs = new ProcessLogs();
  private LoopbackCluster cluster;

  @AfterEach
  void tearDown() {
    if (cluster != null) {
      cluster.close();
    }
  }

  @Test
  void jobsSurviveKillOfAllControllers() throws Exception {
    cluster =
        new LoopbackCluster(processLogs.directory(), LoopbackCluster.Options.DEFAULT, List.of());
    cluster.startAll();
    assertTuningErrorNamesFile();
    assertInvalidRequestsAreRejected();
    byte[] job = SubmissionBuilder.job("wk-000001", "batch", 3).bytes();
    LoopbackCluster.waitUntil(
        "the job is accepted", () -> cluster.status(0, "POST", "/submissions", job) == 201);
    LoopbackCluster.waitUntil(
        "a repeated submission is recognized",
        () -> cluster.status(1, "POST", "/submissions", job) == 200);
    assertStalledClientDoesNotBlockOthers();
    submitDependentJobs();
    int leader = killLeader();
    cancelAndAwaitDependents((leader + 1) % 3, leader);
    for (int node = 0; node < LoopbackCluster.NODES; node++) {
      cluster.kill(node);
    }
    cluster.restart(leader);
    LoopbackCluster.waitUntil(
        "a restarted process has recovered the jobs",
        () -> isCancelled(leader, "wk-000001") && isCancelled(leader, "wk-000004"));
    assertTrue(cluster.isAlive(leader));
  }

  private void assertTuningErrorNamesFile() throws Exception {
    Path tuning = processLogs.directory().resolve("bad.hcl");
    Files.writeString(
        tuning,
        "zone_failover {\n tiers = [{ name = \"a\", teams = [\"x\"] }, { name = \"b\" }]\n}");
    String settings = processLogs.directory().resolve("node-0.json").toString();
    for (List<String> start : List.of(List.of("check"), List.<String>of())) {
      List<String> args = new ArrayList<>(start);
      args.addAll(List.of("--config", settings, "--tuning", tuning.toString()));
      Process process = LoopbackCluster.run(args);
      String stderr = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
      assertEquals(2, process.waitFor());
      assertTrue(
          stderr.contains("bad.hcl: tuning: zone_failover.tiers.a.teams: unknown: x"), stderr);
    }
  }

  private void assertInvalidRequestsAreRejected() throws Exception {
    byte[] unknownTeam = SubmissionBuilder.job("wk-000002", "batch", 3).team("nobody").bytes();
    assertEquals(
        400, cluster.status(0, "POST", "/submissions", "{".getBytes(StandardCharsets.UTF_8)));
    assertEquals(400, cluster.status(1, "POST", "/submissions", new byte[80_000]));
    // Both read the key-value store first, and startup briefly exhausts its rate limit.
    LoopbackCluster.waitUntil(
        "422 for an unknown team",
        () -> cluster.status(1, "POST", "/submissions", unknownTeam) == 422);
    LoopbackCluster.waitUntil(
        "404 for an unknown job",
        () -> cluster.status(2, "GET", "/submissions/wk-000009", null) == 404);
    assertEquals(404, cluster.status(2, "GET", "/else", null));
    assertEquals(405, cluster.status(2, "GET", "/submissions", null));
  }

  private void assertStalledClientDoesNotBlockOthers() throws IOException {
    try (Socket stalled = new Socket(InetAddress.getLoopbackAddress(), cluster.port(0))) {
      stalled
          .getOutputStream()
          .write("POST /submissions HTTP/1.1\r\nCont".getBytes(StandardCharsets.US_ASCII));
      assertEquals(
          200,
          cluster.status(0, "GET", "/healthz", null),
          "a stalled client does not block other clients");
    }
  }

  private static byte[] dependent(String id, String kind, int tasks, String... dependencies) {
    List<JobId> ids = Arrays.stream(dependencies).map(JobId::new).toList();
    return SubmissionBuilder.job(id, kind, tasks).dependsOn(ids).bytes();
  }

  private void submitDependentJobs() throws Exception {
    byte[] second = dependent("wk-000003", "batch", 3, "wk-000001");
    byte[] third = dependent("wk-000004", "group", 2, "wk-000001", "wk-000003");
    byte[] unknown = dependent("wk-000005", "batch", 3, "wk-000099");
    byte[] noList =
        SubmissionBuilder.job("wk-000006", "batch", 3)
            .rawDependencies(TextNode.valueOf("wk-000001"))
            .bytes();
    LoopbackCluster.waitUntil(
        "422 for an unknown dependency",
        () -> cluster.status(1, "POST", "/submissions", unknown) == 422);
    assertEquals(400, cluster.status(1, "POST", "/submissions", noList));
    LoopbackCluster.waitUntil(
        "the second job is accepted",
        () -> cluster.status(1, "POST", "/submissions", second) == 201);
    LoopbackCluster.waitUntil(
        "the third job is accepted", () -> cluster.status(2, "POST", "/submissions", third) == 201);
    LoopbackCluster.waitUntil(
        "the third job is queued",
        () -> cluster.body(0, "/submissions/wk-000004").contains("queued"));
  }

  /** Kills the leader, waits for another one, and returns the number of the killed node. */
  private int killLeader() throws Exception {
    LoopbackCluster.waitUntil("a leader is elected", () -> cluster.services().leader() >= 0);
    int leader = cluster.services().leader();
    cluster.kill(leader);
    int other = (leader + 1) % 3;
    LoopbackCluster.waitUntil(
        "the job is known",
        () -> cluster.status(other, "GET", "/submissions/wk-000001", null) == 200);
    LoopbackCluster.waitUntil(
        "another node leads",
        () -> cluster.services().leader() >= 0 && cluster.services().leader() != leader);
    return leader;
  }

  /**
   * Cancels the first job at a node and waits until its dependents are cancelled on all live nodes.
   */
  private void cancelAndAwaitDependents(int node, int killed) throws Exception {
    LoopbackCluster.waitUntil(
        "the job is cancelled",
        () -> cluster.status(node, "POST", "/submissions/wk-000001/cancel", null) == 200);
    int next = (node + 1) % 3;
    int third = next == killed ? node : next;
    LoopbackCluster.waitUntil(
        "its dependents are cancelled",
        () -> isCancelled(node, "wk-000003") && isCancelled(third, "wk-000004"));
  }

  private boolean isCancelled(int node, String job) {
    return cluster.body(node, "/submissions/" + job).contains("cancelled");
  }

  @Test
  void invalidSettingsExitWithErrorMessage() throws Exception {
    Path bad = processLogs.directory().resolve("bad.json");
    Files.writeString(bad, "{\"node\":\"a\"}");
    Process process = LoopbackCluster.run(List.of("--config", bad.toString()));
    String stderr = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
    assertEquals(2, process.waitFor());
    assertTrue(stderr.contains("external: an object is needed"), stderr);
    Process version = LoopbackCluster.run(List.of("--version"));
    String line = new String(version.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertEquals(0, version.waitFor());
    assertTrue(line.startsWith("ternhinge 0."), line);
  }
}
