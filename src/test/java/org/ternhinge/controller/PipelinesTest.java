package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimUsers;
import org.ternhinge.sim.Specs;
import org.ternhinge.state.Change;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.Json;

/** Jobs that wait for others, under seeded faults and in tables of cases, on virtual time. */
class PipelinesTest {
  private static final double CANCEL_S = 44;

  private SimCluster world;
  private SimUsers users;
  private int jobs;

  private void begin(long seed, double loss, SimCluster.Size size) {
    world = new SimCluster(seed, loss, size, SimCluster.COMING);
    users = new SimUsers(world);
    world.clock.runFor(5);
  }

  private void begin(long seed) {
    begin(seed, 0, new SimCluster.Size(3, 4, 60, 30));
  }

  private static ObjectNode job(String id, int tasks, double runs, List<JobId> after) {
    ObjectNode body = Specs.json(id, "batch", tasks).put("cpus", 2.0).put("aaetlun_s", runs);
    if (!after.isEmpty()) {
      ArrayNode names = body.putArray("bidur_eftir");
      after.forEach(a -> names.add(a.value()));
    }
    return body;
  }

  private JobId submit(String id, int tasks, double runs, JobId... after) {
    users.submitAfterNamed(job(id, tasks, runs, List.of(after)));
    return new JobId(id);
  }

  private void run(double seconds) {
    double end = world.clock.seconds() + seconds;
    while (world.clock.seconds() < end - 1e-6) {
      world.clock.runFor(Math.min(3, end - world.clock.seconds()));
      users.pollAll();
    }
  }

  /** Asks every node about these jobs, second by second. */
  private void runAskingEverywhere(double seconds, List<JobId> about) {
    for (double t = 0; t < seconds; t++) {
      about.forEach(users::pollEverywhere);
      world.clock.runFor(1);
    }
  }

  private void nothingBroken() {
    assertEquals(List.of(), world.violations());
    assertEquals(0, world.state.tooLarge(), "transactions beyond the limit on size");
  }

  /** What one node says of a job: its state, or the status where that is not 200. */
  private String says(int node, JobId id) {
    var r = world.answerTo(node, "GET", "/submissions/" + id, new byte[0]);
    if (r == null || r.status() != 200) {
      return r == null ? "nothing" : Integer.toString(r.status());
    }
    try {
      return Json.text(Json.parse(r.body()), "astand");
    } catch (org.ternhinge.wire.WireException e) {
      throw new IllegalStateException(e);
    }
  }

  // ---- seeded days ------------------------------------------------------------------------------

  /** Limits are lowered in mid-run for even seeds. */
  @ParameterizedTest(name = "seed {0}, loss {1}, {2}")
  @CsvSource({
    "1001, 0.00, NONE",
    "1002, 0.02, NONE",
    "1003, 0.01, CONTROLLER_CRASHES",
    "1004, 0.02, CONTROLLER_CRASHES",
    "1005, 0.01, CONNECTION_CUTS",
    "1006, 0.02, CONNECTION_CUTS",
    "1007, 0.01, STATE_OUTAGES",
    "1008, 0.02, STATE_OUTAGES",
    "1009, 0.01, LOST_COMMANDS",
    "1010, 0.02, LOST_COMMANDS",
    "1011, 0.01, REPORT_COPIES",
    "1012, 0.02, REPORT_COPIES",
    "1013, 0.01, ISOLATED_CONTROLLERS",
    "1014, 0.02, ISOLATED_CONTROLLERS",
    "1015, 0.01, LATE_WRITES",
    "1016, 0.02, LATE_WRITES",
    "1017, 0.01, LOST_REPORTS",
    "1018, 0.02, LOST_REPORTS",
    "1019, 0.01, MACHINE_HANGS",
    "1020, 0.02, MACHINE_HANGS",
    "1021, 0.01, SLOW_STATE_SERVICE",
    "1022, 0.02, SLOW_STATE_SERVICE",
    "1023, 0.01, HELD_REPORTS",
    "1024, 0.02, HELD_REPORTS",
    "1025, 0.01, ZONE_CUTS",
    "1026, 0.02, ZONE_CUTS",
    "1027, 0.01, REFUSED_LEADERS",
    "1028, 0.02, REFUSED_LEADERS",
    "1029, 0.01, INVALID_REQUESTS",
    "1030, 0.02, INVALID_REQUESTS",
    "1031, 0.01, BASIC",
    "1032, 0.02, BASIC",
    "1033, 0.03, BASIC",
    "1034, 0.03, BASIC",
    "1035, 0.01, COMBINED",
    "1036, 0.02, COMBINED",
    "1037, 0.03, COMBINED",
    "1038, 0.03, COMBINED",
    "1039, 0.02, COMBINED",
    "1040, 0.02, COMBINED",
    "1041, 0.01, ZONES_PARTED",
    "1042, 0.02, ZONES_PARTED",
    "1043, 0.02, ZONES_PARTED"
  })
  void rulesHold(long seed, double loss, FaultKind kind) {
    begin(seed, loss, new SimCluster.Size(3, 3, 36, 30));
    SeededFaults faults = new SeededFaults(world, users, kind);
    boolean invalidRequests = kind.includes(FaultKind.INVALID_REQUESTS);
    if (invalidRequests) {
      users.cancelAtEnd(0.2);
    }
    for (int step = 0; step < 150; step++) {
      if (step < 80 && world.nextInt(6) == 0) {
        pipeline();
      }
      if (step < 60 && world.nextInt(25) == 0) {
        service();
      }
      if (!users.accepted().isEmpty() && world.nextInt(16) == 0) {
        users.cancel(users.accepted().get(world.nextInt(users.accepted().size())));
      }
      users.pollAll();
      if (step < 120 && world.nextInt(2) == 0) {
        users.sendInvalidDependencies();
      }
      if (invalidRequests && step < 110) {
        users.sendInvalidRequest();
      }
      if (seed % 2 == 0 && step == 20 + seed % 40) {
        world.stateFaults.lowerLimits();
      }
      if (step < 80) {
        faults.step(step);
      }
      if (step == 90) {
        users.accepted().stream().filter(id -> users.spec(id).isService()).forEach(users::cancel);
      }
      if (step == 110) {
        users.quiet();
      }
      world.clock.runFor(3);
    }
    for (int i = 0; i < 60; i++) {
      users.pollAll();
      world.clock.runFor(6);
    }
    nothingBroken();
    assertTrue(world.tasks.starts() > 20, "only " + world.tasks.starts() + " starts");
    endedWell();
  }

  /** Whatever nobody cancelled is done, whatever somebody did is over. */
  private void endedWell() {
    for (JobId id : users.accepted()) {
      String told = users.lastTold(id);
      if (users.hasToBeCancelled(id)) {
        assertEquals("cancelled", told, id + " has to be cancelled");
      } else if (!users.mayBeCancelled(id)) {
        assertEquals("done", told, id + " was cancelled by nobody");
      } else {
        assertTrue("done".equals(told) || "cancelled".equals(told), id + " is " + told);
      }
    }
  }

  private String next() {
    return String.format("wk-%06d", ++jobs);
  }

  private ObjectNode some(List<JobId> after) {
    boolean gang = world.nextInt(3) == 0;
    ObjectNode body = job(next(), gang ? 2 : 1 + world.nextInt(12), 3 + world.nextInt(8), after);
    body.put("gerd", gang ? "group" : "batch").put("together", gang).put("lanvelar", !gang);
    body.put("eigandi", world.nextInt(2) == 0 ? "red" : "blue");
    return body;
  }

  private static JobId idOf(ObjectNode body) {
    return new JobId(body.get("ref").asText());
  }

  /** A chain, a fan-out or a diamond; its last job is urgent, and at times submitted late. */
  private void pipeline() {
    List<ObjectNode> all = new ArrayList<>();
    ObjectNode first = some(List.of());
    all.add(first);
    int shape = world.nextInt(3);
    int length = 2 + world.nextInt(3);
    List<JobId> ends = new ArrayList<>();
    JobId before = idOf(first);
    for (int i = 0; i < length; i++) {
      ObjectNode body = some(List.of(before));
      all.add(body);
      ends.add(idOf(body));
      if (shape == 0) {
        before = idOf(body);
        ends.retainAll(List.of(before));
      }
    }
    if (shape != 1) {
      all.add(some(ends));
    }
    ObjectNode last = all.remove(all.size() - 1);
    last.put("forgang", "high").put("skiladagur_s", 120.0);
    all.forEach(users::submitAfterNamed);
    if (world.nextInt(4) == 0) {
      users.submitLate(last, world.nextInt(60));
    } else {
      users.submitAfterNamed(last);
    }
  }

  private void service() {
    ObjectNode body = job(next(), 2, 0, List.of()).put("gerd", "daemon");
    users.submit(body.put("forgang", "production").put("lanvelar", false));
  }

  // ---- cancellations ----------------------------------------------------------------------------

  /** Jobs of a shape; all but the first wait. The names are given in order. */
  private List<JobId> shape(String shape, double runs) {
    List<JobId> out = new ArrayList<>();
    out.add(submit("wk-1", 2, runs));
    out.add(submit("wk-2", 2, 5, out.get(0)));
    if (shape.equals("chain")) {
      out.add(submit("wk-3", 2, 5, out.get(1)));
      out.add(submit("wk-4", 2, 5, out.get(2)));
    } else {
      out.add(submit("wk-3", 2, 5, out.get(0)));
      out.add(submit("wk-4", 2, 5, out.get(1), out.get(2)));
    }
    return out;
  }

  /**
   * Every job after the cancelled one is cancelled in time at every node, whatever happens right
   * after the answer; the others are done.
   */
  @ParameterizedTest(name = "{0}, job {1}, asked {2}, then {3}")
  @CsvSource({
    "chain, 1, leader, nothing",
    "chain, 1, follower, nothing",
    "chain, 2, leader, nothing",
    "chain, 2, follower, nothing",
    "chain, 3, leader, nothing",
    "chain, 4, follower, nothing",
    "diamond, 1, leader, nothing",
    "diamond, 2, follower, nothing",
    "diamond, 3, leader, nothing",
    "diamond, 4, leader, nothing",
    "chain, 1, leader, crash",
    "chain, 1, follower, crash",
    "chain, 2, leader, crash",
    "chain, 3, follower, crash",
    "diamond, 1, leader, crash",
    "diamond, 2, follower, crash",
    "diamond, 4, leader, crash",
    "chain, 1, leader, outage",
    "chain, 1, follower, outage",
    "chain, 2, leader, outage",
    "chain, 3, follower, outage",
    "diamond, 1, leader, outage",
    "diamond, 3, follower, outage",
    "chain, 1, leader, refused",
    "chain, 2, follower, refused",
    "diamond, 1, leader, refused",
    "diamond, 1, leader, crash and outage",
    "chain, 1, follower, crash and outage",
    "chain, 2, leader, crash and outage",
    "chain, 1, leader, all crash",
    "diamond, 2, follower, all crash",
    "chain, 1, leader, late",
    "chain, 2, follower, late",
    "diamond, 1, leader, late"
  })
  void laterJobsAreCancelledInTime(String shape, int cancelled, String asked, String then) {
    for (long seed = 301; seed < 304; seed++) {
      begin(seed);
      List<JobId> all = shape(shape, 60);
      run(20);
      assertEquals(4, users.accepted().size());
      if (then.equals("late")) {
        world.stateFaults.lateWrites(0.5, 30);
      }
      JobId goes = all.get(cancelled - 1);
      int leader = world.leader();
      double[] toldAt = {-1};
      users.cancelAt(
          asked.equals("leader") ? leader : (leader + 1) % 3,
          goes,
          () -> {
            toldAt[0] = world.clock.seconds();
            rightAfter(then);
          });
      runAskingEverywhere(30, all);
      assertTrue(toldAt[0] >= 0, "the cancel is answered");
      runAskingEverywhere(toldAt[0] + CANCEL_S + 1 - world.clock.seconds(), all);
      for (JobId id : all) {
        boolean later = id.equals(goes) || world.dependencies(id).contains(goes);
        for (int node = 0; node < 3 && later; node++) {
          String says = says(node, id);
          assertTrue(Set.of("cancelled", "503", "nothing").contains(says), node + " says " + says);
        }
      }
      runAskingEverywhere(60, all);
      users.quiet();
      run(120);
      nothingBroken();
      endedWell();
      for (JobId id : all) {
        boolean later = id.equals(goes) || world.dependencies(id).contains(goes);
        assertEquals(later ? "cancelled" : "done", users.lastTold(id), id + " with " + goes);
      }
    }
  }

  private void rightAfter(String then) {
    int leader = Math.max(0, world.leader());
    if (then.startsWith("crash")) {
      world.crash(leader, 3);
    }
    if (then.endsWith("outage")) {
      world.stateFaults.outage(CANCEL_S + 16);
    }
    if (then.equals("refused")) {
      world.stateFaults.refuse(leader, CANCEL_S + 16);
    }
    if (then.equals("all crash")) {
      for (int i = 0; i < 3; i++) {
        world.crash(i, 2 + i * 0.3);
      }
    }
  }

  /**
   * The cancel's write is carried out but not answered, and the nodes can't ask each other: one
   * reads that it is there while the leader does not know yet. Nobody may be told an older state.
   */
  @ParameterizedTest(name = "{0}, cancelled job {1}")
  @CsvSource({"chain, 1", "chain, 2", "diamond, 1", "diamond, 3"})
  void aCancelWhoseAnswerIsLost(String shape, int cancelled) {
    for (long seed = 401; seed < 421; seed++) {
      begin(seed);
      List<JobId> all = shape(shape, 200);
      run(15);
      world.networkFaults.partZones(20);
      world.stateFaults.lateWrites(0.7, 12);
      users.cancelAt(world.leader(), all.get(cancelled - 1), () -> {});
      for (int i = 0; i < 400; i++) {
        all.forEach(users::pollEverywhere);
        world.clock.runFor(0.05);
      }
      run(CANCEL_S);
      nothingBroken();
      endedWell(all.get(cancelled - 1));
    }
  }

  private void endedWell(JobId goes) {
    for (JobId id : users.accepted()) {
      if (id.equals(goes) || world.dependencies(id).contains(goes)) {
        assertEquals("cancelled", users.lastTold(id), id.value());
      }
    }
  }

  /** A cancel that is answered with done changes nothing for the jobs after it. */
  @ParameterizedTest(name = "{0}, cancelled {1} s after the end of the first")
  @CsvSource({
    "chain, 0",
    "chain, 0.02",
    "chain, 0.1",
    "chain, 0.4",
    "chain, 0.7",
    "chain, 1.2",
    "chain, 3",
    "diamond, 0",
    "diamond, 0.1",
    "diamond, 0.6",
    "diamond, 2"
  })
  void aCancelThatMeetsTheEnd(String shape, double after) {
    for (long seed = 311; seed < 316; seed++) {
      begin(seed);
      List<JobId> all = shape(shape, 8);
      JobId first = all.get(0);
      world.clock.runFor(2);
      while (!world.allCompleted(first)) {
        world.clock.runFor(0.01);
      }
      world.clock.runFor(after);
      String[] told = {null};
      users.cancelAt(world.nextInt(3), first, () -> told[0] = users.lastTold(first));
      runAskingEverywhere(20, all);
      run(60);
      users.quiet();
      run(60);
      nothingBroken();
      assertNotNull(told[0], "the cancel is answered");
      for (JobId id : all) {
        assertEquals(told[0], users.lastTold(id), id + " after a cancel answered " + told[0]);
      }
    }
  }

  /** Whoever names a cancelled job is accepted all the same, and cancelled. */
  @ParameterizedTest(name = "named {0} s after the cancel, first runs: {1}, crash: {2}")
  @CsvSource({
    "0.01, false, false",
    "0.01, true, false",
    "2, true, false",
    "60, true, false",
    "60, false, true",
    "2, true, true"
  })
  void aCancelledJobIsNamed(double after, boolean runs, boolean crash) {
    begin(321);
    JobId first = submit("wk-1", 2, 300);
    run(runs ? 30 : 0.5);
    boolean[] told = {false};
    users.cancelAt(world.leader(), first, () -> told[0] = true);
    while (!told[0]) {
      world.clock.runFor(0.01);
    }
    world.clock.runFor(after);
    if (crash) {
      for (int i = 0; i < 3; i++) {
        world.crash(i, 1);
      }
    }
    JobId second = submit("wk-2", 2, 5, first);
    JobId third = submit("wk-3", 2, 5, second);
    List<JobId> all = List.of(first, second, third);
    runAskingEverywhere(20, all);
    assertEquals(all, users.accepted(), "all are accepted");
    for (JobId id : all) {
      for (int node = 0; node < 3; node++) {
        assertEquals("cancelled", says(node, id), "node " + node + " of " + id);
      }
    }
    users.quiet();
    run(60);
    nothingBroken();
    assertEquals(0, world.tasks.runningTasks(second));
  }

  /** A repeat of a submission and a cancel of a derived cancellation have the same answer. */
  @Test
  void repeatsAndCancelsOfDerivedStates() {
    begin(322);
    List<JobId> all = shape("chain", 300);
    run(20);
    users.cancelAt(world.leader(), all.get(0), () -> {});
    world.clock.runFor(2);
    for (int node = 0; node < 3; node++) {
      for (int i = 1; i < 4; i++) {
        JobId id = all.get(i);
        byte[] body = Json.bytes(job(id.value(), 2, 5, List.of(all.get(i - 1))));
        assertAnswer(200, "cancelled", world.answerTo(node, "POST", "/submissions", body));
        String path = "/submissions/" + id + "/cancel";
        assertAnswer(200, "cancelled", world.answerTo(node, "POST", path, new byte[0]));
      }
    }
    nothingBroken();
  }

  private static void assertAnswer(int status, String state, org.ternhinge.http.Response r) {
    assertNotNull(r);
    assertEquals(status, r.status());
    String body = new String(r.body(), java.nio.charset.StandardCharsets.UTF_8);
    assertTrue(body.contains("\"astand\":\"" + state + "\""), body);
  }

  // ---- what is named ----------------------------------------------------------------------------

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
    begin(331);
    submit("wk-1", 1, 5);
    users.submit(job("wk-5", 1, 0, List.of()).put("gerd", "daemon").put("lanvelar", false));
    run(3);
    String text = list.replace('\'', '"').replace(';', ',');
    if (list.startsWith("wk")) {
      text = '"' + list + '"';
    }
    for (int node = 0; node < 3; node++) {
      ObjectNode body = job(node == 0 ? "wk-2" : "wk-2" + node, 1, 5, List.of());
      if (text.contains("wk-2")) {
        text = "[\"" + body.get("ref").asText() + "\"]";
      }
      body.set("bidur_eftir", Json.parse(("{\"x\":" + text + "}").getBytes()).get("x"));
      var r = world.answerTo(node, "POST", "/submissions", Json.bytes(body));
      assertNotNull(r, "node " + node);
      assertEquals(status, r.status(), "node " + node);
      if (status == 201) {
        users.submit(body);
      }
    }
    run(40);
    users.quiet();
    run(60);
    nothingBroken();
    users.accepted().stream()
        .filter(id -> !users.spec(id).isService())
        .forEach(id -> assertEquals("done", users.lastTold(id)));
  }

  /** A list that no record could hold gets a definite answer at once. */
  @ParameterizedTest
  @ValueSource(ints = {300, 1000, 4500})
  void absurdlyLongLists(int names) {
    begin(332);
    List<JobId> named = new ArrayList<>();
    for (int i = 0; i < names; i++) {
      named.add(new JobId(String.format("wk-%07d", i)));
    }
    for (int node = 0; node < 3; node++) {
      byte[] body = Json.bytes(job("wk-9000000" + node, 1, 5, named));
      assertTrue(body.length < 64 * 1024);
      var r = world.answerTo(node, "POST", "/submissions", body);
      assertNotNull(r, "an answer within a second");
      assertTrue(Set.of(400, 413, 422).contains(r.status()), "answered " + r.status());
    }
    nothingBroken();
  }

  /** Jobs that ended long ago, more of them than anybody keeps in mind, are still known as done. */
  @ParameterizedTest(name = "ends before {0}, after {1}, all crash: {2}")
  @CsvSource({"0, 0, false", "0, 0, true", "4500, 0, true", "0, 4500, true", "4500, 4500, false"})
  void namesOfJobsThatEndedLongAgo(int before, int after, boolean crash) {
    begin(341);
    world.wasDone(ends(2_000_000, before));
    JobId first = submit("wk-1", 2, 5);
    run(30);
    assertEquals("done", users.lastTold(first));
    world.wasDone(ends(3_000_000, after));
    if (crash) {
      for (int i = 0; i < 3; i++) {
        world.crash(i, 1);
      }
      run(10);
    }
    List<JobSpec> old = ends(4_000_000, 3);
    world.wasDone(old);
    JobId second = submit("wk-2", 2, 5, first);
    ObjectNode body = job("wk-3", 2, 5, old.stream().map(JobSpec::id).toList());
    users.submit(body);
    JobId third = idOf(body);
    run(60);
    if (before > 0) {
      users.submit(job("wk-4", 2, 5, List.of(new JobId("wk-2000000"))));
    }
    run(60);
    users.quiet();
    run(30);
    nothingBroken();
    for (JobId id : users.accepted()) {
      assertEquals("done", users.lastTold(id), id.value());
    }
    assertTrue(world.tasks.began(second).isPresent() && world.tasks.began(third).isPresent());
  }

  private static List<JobSpec> ends(int from, int count) {
    List<JobSpec> out = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      out.add(Specs.of(Specs.json("wk-" + (from + i), "batch", 2)));
    }
    return out;
  }

  // ---- what a wait costs ------------------------------------------------------------------------

  /** Thousands of jobs wait for one; its cancel is answered at once and settles all of them. */
  @ParameterizedTest(name = "asked {0}, then {1}")
  @CsvSource({
    "leader, nothing",
    "follower, nothing",
    "leader, crash",
    "follower, outage",
    "leader, crash and outage",
    "leader, lower"
  })
  void thousandsAfterOne(String asked, String then) {
    begin(351, 0, new SimCluster.Size(3, 4, 60, 30));
    JobId first = submit("wk-1", 2, 3000);
    run(20);
    List<JobId> all = new ArrayList<>();
    for (int i = 0; i < 2000; i++) {
      ObjectNode body = job("wk-1" + String.format("%04d", i), 1, 5, List.of(first));
      users.submit(body);
      all.add(idOf(body));
      if (i % 10 == 9) {
        world.clock.runFor(0.8);
      }
    }
    world.clock.runFor(70);
    assertEquals(2001, users.accepted().size());
    long changes = world.counts.stateChanges();
    world.clock.runFor(20);
    assertTrue(world.counts.stateChanges() - changes < 20, "a wait costs no writes");
    int leader = world.leader();
    double asking = world.clock.seconds();
    double[] toldAt = {-1};
    if (then.equals("lower")) {
      world.stateFaults.lowerLimits();
    }
    users.cancelAt(
        asked.equals("leader") ? leader : (leader + 1) % 3,
        first,
        () -> {
          toldAt[0] = world.clock.seconds();
          rightAfter(then);
        });
    world.clock.runFor(10);
    assertTrue(toldAt[0] >= 0 && toldAt[0] - asking < 2, "answered at " + toldAt[0]);
    world.clock.runFor(toldAt[0] + CANCEL_S + 1 - world.clock.seconds());
    if (!then.endsWith("outage")) {
      for (int i = 0; i < all.size(); i += 97) {
        for (int node = 0; node < 3; node++) {
          String says = says(node, all.get(i));
          assertTrue(says.equals("cancelled") || says.equals("503"), node + " says " + says);
        }
      }
    }
    users.quiet();
    for (int i = 0; i < 8; i++) {
      users.pollAll();
      world.clock.runFor(30);
    }
    nothingBroken();
    Set<String> told = new LinkedHashSet<>();
    all.forEach(id -> told.add(users.lastTold(id)));
    assertEquals(Set.of("cancelled"), told);
    assertEquals(0, world.tasks.runningTasks(first));
  }

  /** A job that waits leaves its team's limit to others, however much it will need. */
  @Test
  void whoWaitsHoldsNoPartOfTheLimit() {
    begin(361, 0, new SimCluster.Size(3, 4, 24, 30));
    JobId first = submit("wk-1", 2, 60);
    JobId waits = submit("wk-2", 12, 5, first);
    ObjectNode gang = job("wk-3", 2, 5, List.of(first)).put("gerd", "group").put("cpus", 4.0);
    users.submitAfterNamed(gang);
    run(20);
    JobId fills = submit("wk-4", 10, 40);
    run(25);
    assertEquals(2, world.tasks.runningTasks(first));
    assertEquals(
        10, world.tasks.runningTasks(fills), "the team's whole limit is for those that can run");
    assertEquals("queued", users.lastTold(waits));
    run(120);
    users.quiet();
    run(60);
    nothingBroken();
    users.accepted().forEach(id -> assertEquals("done", users.lastTold(id), id.value()));
  }

  /** The next leader knows who waits, and for whom. */
  @ParameterizedTest(name = "{0}, {1} s after the first was submitted, {2}")
  @CsvSource({
    "chain, 10, leader",
    "chain, 10, all",
    "diamond, 10, leader",
    "diamond, 10, all",
    "chain, 28, leader",
    "chain, 30, all",
    "chain, 31, leader",
    "chain, 32, all",
    "chain, 33, leader",
    "diamond, 31, all",
    "diamond, 36, leader",
    "diamond, 40, all"
  })
  void aChangeOfLeaderWhileJobsWait(String shape, double at, String crash) {
    for (long seed = 371; seed < 374; seed++) {
      begin(seed);
      List<JobId> all = shape(shape, 15);
      run(at);
      for (int i = 0; i < 3; i++) {
        if (crash.equals("all") || i == world.leader()) {
          world.crash(i, 2);
        }
      }
      run(120);
      users.quiet();
      run(60);
      nothingBroken();
      all.forEach(id -> assertEquals("done", users.lastTold(id), id.value()));
    }
  }

  /** Many ends and the urgent starts after them share few changes: no start goes before its end. */
  @ParameterizedTest(name = "seed {0}, late writes {1}")
  @CsvSource({"411, 0", "412, 0", "413, 0.3", "414, 0.3"})
  void manyEndsAndUrgentStartsAtOnce(long seed, double late) {
    begin(seed, 0, new SimCluster.Size(3, 10, 200, 30));
    world.stateFaults.lowerLimits();
    for (int i = 0; i < 24; i++) {
      JobId first = submit("wk-1" + String.format("%02d", i), 1, 20);
      ObjectNode body = job("wk-2" + String.format("%02d", i), 1, 5, List.of(first));
      users.submitAfterNamed(body.put("forgang", "production"));
    }
    run(18);
    world.stateFaults.lateWrites(late, 60);
    run(120);
    users.quiet();
    run(60);
    nothingBroken();
    assertEquals(48, users.accepted().size());
    users.accepted().forEach(id -> assertEquals("done", users.lastTold(id), id.value()));
  }

  // ---- smaller limits ---------------------------------------------------------------------------

  /**
   * Records that the version in production laid down under the larger limit are there when the
   * limits are lowered: nobody loses the leadership over them, and all jobs end well.
   */
  @ParameterizedTest(name = "{0} jobs of {1}, kind {2}, lowered {3}")
  @CsvSource({
    "1, 127, batch, before",
    "1, 300, batch, before",
    "3, 300, batch, before",
    "3, 300, batch, after",
    "2, 127, group, before",
    "2, 127, group, after",
    "2, 127, daemon, before",
    "3, 300, cancelled, before",
    "3, 300, cancelled, after",
    "2, 300, half, before"
  })
  void largeRecordsOfTheOldVersion(int count, int tasks, String kind, String lowered)
      throws Exception {
    begin(381, 0, new SimCluster.Size(3, 20, 400, 30));
    run(10);
    for (int i = 0; i < 3; i++) {
      world.crash(i, 3 + i * 0.2);
    }
    List<JobId> all = new ArrayList<>();
    for (int n = 0; n < count; n++) {
      all.add(oldJob("wk-" + (100 + n), tasks, kind, n));
    }
    if (lowered.equals("before")) {
      world.stateFaults.lowerLimits();
    }
    int led = world.counts.leaderships();
    run(12);
    if (!lowered.equals("before")) {
      world.stateFaults.lowerLimits();
    }
    JobId next = submit("wk-5", 20, 5);
    JobId after = submit("wk-6", 2, 5, next);
    run(240);
    if (kind.equals("daemon")) {
      all.forEach(id -> assertEquals(tasks, world.tasks.runningTasks(id), "replicas of " + id));
      all.forEach(users::cancel);
    }
    run(60);
    users.quiet();
    run(400);
    nothingBroken();
    assertEquals(led + 1, world.counts.leaderships(), "no leadership is lost");
    boolean goes = kind.equals("cancelled") || kind.equals("daemon");
    all.forEach(id -> assertEquals(goes ? "cancelled" : "done", users.lastTold(id), id.value()));
    assertEquals("done", users.lastTold(next));
    assertEquals("done", users.lastTold(after));
    for (JobId id : all) {
      assertEquals(null, world.state.value("j/" + id), "its record is gone");
    }
  }

  /**
   * A job as the old version holds it, in segments of 127 tasks, each on a machine of its own that
   * nobody finds any more; a half of them done, for the kind so named.
   */
  private JobId oldJob(String id, int tasks, String kind, int n) throws Exception {
    boolean array = !kind.equals("group") && !kind.equals("daemon");
    ObjectNode body = Specs.json(id, array ? "batch" : kind, tasks).put("aaetlun_s", 5.0);
    if (kind.equals("daemon")) {
      body.put("forgang", "production").put("lanvelar", false);
    }
    JobSpec spec = Specs.of(body);
    world.know(spec);
    List<Change> records = new ArrayList<>();
    for (int from = 0; from < tasks; from += 127) {
      ObjectNode record = Json.object();
      if (from == 0) {
        record.set("s", spec.write());
        record.put("t", world.clock.wallMillis()).put("p", 127).put("h", 1);
        if (kind.equals("cancelled")) {
          record.put("c", true);
        }
      }
      int to = Math.min(tasks, from + 127);
      List<String> done = new ArrayList<>();
      ArrayNode open = Json.object().putArray("o");
      for (int i = from; i < to; i++) {
        if (kind.equals("half") && i % 2 == 0) {
          done.add(Integer.toString(i));
          world.finish(spec, i);
        } else {
          open.add(String.format("1:n-%06d:1:0:%d", 900_000 + n * 1000 + i, i));
        }
      }
      record.put("d", String.join(",", done)).set("o", open);
      String key = from == 0 ? "j/" + id : "j/" + id + "/" + from / 127;
      records.add(new Change.Put(key, record, 0));
    }
    world.state.put(records);
    users.hadAccepted(spec);
    if (kind.equals("cancelled")) {
      users.cancel(spec.id());
    }
    return spec.id();
  }

  /** Work goes on at the lower rate of changes, and nothing is sent that is too large. */
  @ParameterizedTest(name = "seed {0}, lowered at {1} s")
  @CsvSource({"391, 0", "392, 12", "393, 30"})
  void workGoesOnUnderLowerLimits(long seed, double at) {
    begin(seed, 0, new SimCluster.Size(3, 10, 200, 30));
    world.clock.after(at, world.stateFaults::lowerLimits);
    int led = world.counts.leaderships();
    List<JobId> firsts = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      firsts.add(submit("wk-1" + String.format("%02d", i), 150, 6));
      JobId second = submit("wk-2" + String.format("%02d", i), 20, 6, firsts.get(i));
      submit("wk-3" + String.format("%02d", i), 2, 6, second, firsts.get(0));
      run(6);
    }
    run(500);
    users.quiet();
    run(100);
    nothingBroken();
    assertEquals(led, world.counts.leaderships(), "no leadership is lost");
    assertEquals(36, users.accepted().size());
    users.accepted().forEach(id -> assertEquals("done", users.lastTold(id), id.value()));
    assertFalse(world.counts.stateChanges() == 0);
    assertNotEquals(0, world.tasks.starts());
  }

  /**
   * Controllers that know of no smaller limits lay down large records of work that runs on many
   * machines; they are replaced one after the other, and then the limits are lowered while it runs.
   */
  @ParameterizedTest(name = "{0}, lowered {1} s after the last is replaced")
  @CsvSource({"batch, 0", "batch, 10", "batch, 25", "group, 5", "daemon, 0", "daemon, 20"})
  void largeRecordsOfWorkThatRuns(String kind, double lowered) {
    world = new SimCluster(401, 0, new SimCluster.Size(3, 160, 1200, 30));
    users = new SimUsers(world);
    world.clock.runFor(5);
    List<JobId> all = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      // One task to a machine.
      ObjectNode body = job("wk-1" + i, 140, 200, List.of()).put("gerd", kind).put("cpus", 4.0);
      body.putArray("velagerdir").add("small");
      users.submit(body.put("lanvelar", !kind.equals("daemon")));
      all.add(idOf(body));
    }
    while (world.clock.seconds() < 90
        && all.stream().anyMatch(j -> world.tasks.runningTasks(j) < 140)) {
      run(1);
    }
    int largest =
        all.stream()
            .mapToInt(id -> Json.bytes(world.state.value("j/" + id)).length)
            .max()
            .orElse(0);
    assertTrue(largest > 2500, "records of " + largest + " bytes");
    world.announce(SimCluster.COMING);
    for (int i = 0; i < 3; i++) {
      world.crash(i, 2);
      run(6);
    }
    int led = world.counts.leaderships();
    all.forEach(
        id ->
            assertTrue(world.tasks.runningTasks(id) > 100, world.tasks.runningTasks(id) + " run"));
    run(lowered);
    world.stateFaults.lowerLimits();
    JobId next = submit("wk-2", 20, 5, kind.equals("daemon") ? new JobId[0] : listed(all));
    run(60);
    if (kind.equals("daemon")) {
      all.forEach(id -> assertEquals(140, world.tasks.runningTasks(id), "replicas of " + id));
      for (var w : world.workersOf(all.get(0)).subList(0, 30)) {
        world.machineFaults.restart(w);
      }
      run(120);
      all.forEach(id -> assertEquals(140, world.tasks.runningTasks(id), "replicas of " + id));
      all.forEach(users::cancel);
    }
    run(300);
    users.quiet();
    run(200);
    nothingBroken();
    assertEquals(led, world.counts.leaderships(), "no leadership is lost");
    String end = kind.equals("daemon") ? "cancelled" : "done";
    all.forEach(id -> assertEquals(end, users.lastTold(id), id.value()));
    assertEquals("done", users.lastTold(next));
  }

  private static JobId[] listed(List<JobId> ids) {
    return ids.toArray(new JobId[0]);
  }
}
