package org.ternhinge.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.model.JobId;
import org.ternhinge.sim.Specs;
import org.ternhinge.sim.Users;
import org.ternhinge.sim.World;

/**
 * The whole controller under seeded faults, on virtual time. The rules are checked on what the
 * stand-ins saw running and on what users were told.
 */
class FaultTest {
  private World world;
  private Users users;
  private int jobs;

  @ParameterizedTest(name = "seed {0}, loss {1}, {2}")
  @CsvSource({
    "1, 0.00, none",
    "2, 0.02, none",
    "3, 0.01, crashes",
    "4, 0.01, crashes",
    "5, 0.01, cuts",
    "6, 0.01, outages",
    "7, 0.02, all",
    "8, 0.02, all",
    "9, 0.03, all",
    "10, 0.05, all",
    "11, 0.03, all",
    "12, 0.02, all",
    "122, 0.02, crashes",
    "333, 0.03, cuts",
    "375, 0.03, outages",
    "488, 0.02, all",
    "680, 0.02, all",
    "776, 0.02, all",
    "835, 0.01, outages",
    "844, 0.04, all",
    "21, 0.01, deaf",
    "22, 0.02, deaf",
    "23, 0.01, copies",
    "24, 0.02, copies",
    "25, 0.01, alone",
    "26, 0.02, alone",
    "31, 0.01, late_writes",
    "32, 0.02, late_writes",
    "33, 0.01, mute",
    "34, 0.02, mute",
    "35, 0.01, hangs",
    "36, 0.02, hangs",
    "37, 0.01, slow_state",
    "38, 0.02, slow_state",
    "39, 0.01, held",
    "40, 0.02, held",
    "41, 0.01, zone_cut",
    "42, 0.02, zone_cut",
    "43, 0.01, leaders",
    "44, 0.02, leaders",
    "45, 0.01, odd",
    "46, 0.02, odd",
    "47, 0.01, meet",
    "48, 0.02, meet",
    "49, 0.03, meet",
    "50, 0.02, meet"
  })
  void rulesHold(long seed, double loss, String faults) {
    world = new World(seed, loss);
    users = new Users(world);
    boolean odd = faults.equals("odd") || faults.equals("meet");
    if (odd) {
      users.cancelAtEnd(0.3);
    }
    world.clock.runFor(5);
    for (int step = 0; step < 120; step++) {
      if (step < 70 && world.nextInt(3) == 0) {
        submit();
      }
      if (!users.accepted().isEmpty() && world.nextInt(12) == 0) {
        users.cancel(users.accepted().get(world.nextInt(users.accepted().size())));
      }
      users.pollAll();
      if (odd && step < 100) {
        users.oddRequest();
      }
      if (step < 80) {
        trouble(faults);
        heldUp(faults, step);
      }
      if (step == 90) {
        // Services hold their team's limit for ever; the rest is to finish.
        users.accepted().stream().filter(id -> users.spec(id).isService()).forEach(users::cancel);
      }
      if (step == 100) {
        // The longest trouble lasts less than a minute.
        users.quiet();
      }
      world.clock.runFor(3);
    }
    for (int i = 0; i < 39; i++) {
      users.pollAll();
      world.clock.runFor(6);
    }
    assertEquals(List.of(), world.broken);
    assertTrue(world.starts > 20, "only " + world.starts + " starts");
    for (JobId id : users.accepted()) {
      if (!users.spec(id).isService()) {
        String told = users.lastTold(id);
        assertTrue("done".equals(told) || "cancelled".equals(told), id + " was last told " + told);
      }
    }
  }

  private void submit() {
    String id = String.format("wk-%06d", ++jobs);
    String kind = List.of("batch", "batch", "group", "daemon").get(world.nextInt(4));
    int tasks = kind.equals("group") ? 2 : kind.equals("daemon") ? 2 : 1 + world.nextInt(20);
    ObjectNode body = Specs.json(id, kind, tasks);
    body.put("eigandi", world.nextInt(2) == 0 ? "red" : "blue");
    body.put("forgang", kind.equals("daemon") ? "production" : "normal");
    body.put("scatter", kind.equals("daemon")).put("together", kind.equals("group"));
    body.put("lanvelar", kind.equals("batch")).put("cpus", 2.0);
    body.put("aaetlun_s", 3.0 + world.nextInt(12));
    users.submit(body);
  }

  private void trouble(String faults) {
    boolean all = faults.equals("all");
    if ((all || faults.equals("crashes")) && world.nextInt(8) == 0) {
      world.crash(world.nextInt(3), world.nextInt(2) == 0 ? 0.3 : 5);
    }
    if ((all || faults.equals("cuts")) && world.nextInt(10) == 0) {
      world.cutWorkers(world.nextInt(3), 5 + world.nextInt(30));
    }
    if ((all || faults.equals("cuts")) && world.nextInt(10) == 0) {
      world.cutState(world.nextInt(3), 5 + world.nextInt(20));
    }
    if ((all || faults.equals("cuts")) && world.nextInt(8) == 0) {
      world.hurtSomeWorker(world.nextInt(3) == 0 ? 0 : 5 + world.nextInt(40));
    }
    if ((all || faults.equals("deaf")) && world.nextInt(8) == 0) {
      world.deafenSomeWorker(5 + world.nextInt(50));
    }
    if ((all || faults.equals("copies")) && world.nextInt(10) == 0) {
      world.copyReports(0.3, 5 + world.nextInt(20));
    }
    if ((all || faults.equals("alone")) && world.nextInt(10) == 0) {
      world.cutOff(world.nextInt(3), 5 + world.nextInt(50));
    }
    if ((all || faults.equals("outages")) && world.nextInt(25) == 0) {
      world.outage(5 + world.nextInt(30));
    }
  }

  /** Messages held up or back, and what else the meetings of troubles are made of. */
  private void heldUp(String faults, int step) {
    boolean all = faults.equals("meet");
    if (all && world.nextInt(3) == 0) {
      trouble("all");
    }
    if ((all || faults.equals("late_writes")) && world.nextInt(10) == 0) {
      world.troubles.lateWrites(0.3, 5 + world.nextInt(30));
    }
    if ((all || faults.equals("mute")) && world.nextInt(6) == 0) {
      world.troubles.muteSomeWorker(5 + world.nextInt(50));
    }
    if ((all || faults.equals("mute")) && world.nextInt(25) == 0) {
      world.troubles.muteWorkers(0.6, 5 + world.nextInt(50));
    }
    if ((all || faults.equals("hangs")) && world.nextInt(6) == 0) {
      world.troubles.hangSomeWorker(1 + world.nextInt(40));
    }
    if (faults.equals("hangs") && !users.accepted().isEmpty() && world.nextInt(12) == 0) {
      JobId id = users.accepted().get(world.nextInt(users.accepted().size()));
      world.troubles.hangWorkersOf(id, 8, 2 + world.nextInt(30));
      users.cancel(id);
    }
    if ((all || faults.equals("slow_state")) && world.nextInt(12) == 0) {
      world.troubles.slowState(5 + world.nextInt(40), 0.3 + world.nextInt(10) / 10.0);
    }
    if ((all || faults.equals("held")) && world.nextInt(4) == 0) {
      world.troubles.holdReport(3 + world.nextInt(50));
    }
    if ((faults.equals("held") || faults.equals("slow_state")) && world.nextInt(15) == 0) {
      world.cutState(Math.max(0, world.leader()), 8);
    }
    if ((all || faults.equals("zone_cut")) && world.nextInt(20) == 0) {
      world.troubles.cutZone(world.nextInt(2) == 0 ? "east" : "west", 5 + world.nextInt(45));
    }
    if ((all || faults.equals("leaders")) && step < 55 && world.nextInt(20) == 0) {
      // Two minutes long, and over when quiet is asked for.
      world.troubles.refuseLeaders(10, 12, 8);
    }
    if (faults.equals("leaders") && world.nextInt(30) == 0) {
      world.outage(5 + world.nextInt(40));
    }
  }
}
