package org.ternhinge.controller;

import org.ternhinge.model.JobId;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimUsers;

/** Seeded troubles by their kind, for the tests that run whole days of them. */
final class Faults {
  private final SimCluster world;
  private final SimUsers users;

  Faults(SimCluster world, SimUsers users) {
    this.world = world;
    this.users = users;
  }

  void trouble(String faults) {
    boolean all = faults.equals("all");
    if ((all || faults.equals("crashes")) && world.nextInt(8) == 0) {
      world.crash(world.nextInt(3), world.nextInt(2) == 0 ? 0.3 : 5);
    }
    if ((all || faults.equals("cuts")) && world.nextInt(10) == 0) {
      world.networkFaults.cutWorkers(world.nextInt(3), 5 + world.nextInt(30));
    }
    if ((all || faults.equals("cuts")) && world.nextInt(10) == 0) {
      world.stateFaults.refuse(world.nextInt(3), 5 + world.nextInt(20));
    }
    if ((all || faults.equals("cuts")) && world.nextInt(8) == 0) {
      world.machineFaults.cutOrEndSomeWorker(world.nextInt(3) == 0 ? 0 : 5 + world.nextInt(40));
    }
    if ((all || faults.equals("deaf")) && world.nextInt(8) == 0) {
      world.machineFaults.deafenSomeWorker(5 + world.nextInt(50));
    }
    if ((all || faults.equals("copies")) && world.nextInt(10) == 0) {
      world.machineFaults.copyReports(0.3, 5 + world.nextInt(20));
    }
    if ((all || faults.equals("alone")) && world.nextInt(10) == 0) {
      world.networkFaults.cutOff(world.nextInt(3), 5 + world.nextInt(50));
    }
    if ((all || faults.equals("outages")) && world.nextInt(25) == 0) {
      world.stateFaults.outage(5 + world.nextInt(30));
    }
  }

  /** Messages held up or back, and what else the meetings of troubles are made of. */
  void heldUp(String faults, int step) {
    boolean all = faults.equals("meet");
    if (all && world.nextInt(3) == 0) {
      trouble("all");
    }
    if ((all || faults.equals("late_writes")) && world.nextInt(10) == 0) {
      world.stateFaults.lateWrites(0.3, 5 + world.nextInt(30));
    }
    if ((all || faults.equals("mute")) && world.nextInt(6) == 0) {
      world.machineFaults.muteSomeWorker(5 + world.nextInt(50));
    }
    if ((all || faults.equals("mute")) && world.nextInt(25) == 0) {
      world.machineFaults.muteWorkers(0.6, 5 + world.nextInt(50));
    }
    if ((all || faults.equals("hangs")) && world.nextInt(6) == 0) {
      world.machineFaults.hangSomeWorker(1 + world.nextInt(40));
    }
    if (faults.equals("hangs") && !users.accepted().isEmpty() && world.nextInt(12) == 0) {
      JobId id = users.accepted().get(world.nextInt(users.accepted().size()));
      world.machineFaults.hangWorkersOf(id, 8, 2 + world.nextInt(30));
      users.cancel(id);
    }
    if ((all || faults.equals("slow_state")) && world.nextInt(12) == 0) {
      world.stateFaults.slowState(5 + world.nextInt(40), 0.3 + world.nextInt(10) / 10.0);
    }
    if ((all || faults.equals("held")) && world.nextInt(4) == 0) {
      world.machineFaults.holdReport(3 + world.nextInt(50));
    }
    if ((faults.equals("held") || faults.equals("slow_state")) && world.nextInt(15) == 0) {
      world.stateFaults.refuse(Math.max(0, world.leader()), 8);
    }
    if ((all || faults.equals("zone_cut")) && world.nextInt(20) == 0) {
      world.networkFaults.cutZone(world.nextInt(2) == 0 ? "east" : "west", 5 + world.nextInt(45));
    }
    if ((all || faults.equals("leaders")) && step < 55 && world.nextInt(20) == 0) {
      // Two minutes long, and over when quiet is asked for.
      world.stateFaults.refuseLeaders(10, 12, 8);
    }
    if (faults.equals("leaders") && world.nextInt(30) == 0) {
      world.stateFaults.outage(5 + world.nextInt(40));
    }
  }
}
