package org.ternhinge.scaling;

import java.util.List;
import org.ternhinge.attempt.AgentStatusSink;
import org.ternhinge.attempt.TermAnnouncer;
import org.ternhinge.leadership.LeadershipFixture;
import org.ternhinge.machine.BootTimes;
import org.ternhinge.machine.Machine;
import org.ternhinge.machine.MachineDescription;
import org.ternhinge.machine.MachineTypeCatalog;
import org.ternhinge.machine.TestMachineTypes;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.term.LeadershipContext;
import org.ternhinge.wire.MachineType;

/** The classes that scale the fleet, connected to a scripted cloud. */
final class ScalingFixture {
  static final MachineType SMALL = TestMachineTypes.type("small", 20, "east");

  final LeadershipFixture leadership = new LeadershipFixture();
  final ScriptedCloud cloud = new ScriptedCloud();
  final MonotonicTime start = leadership.now();
  final LeadershipContext context =
      new LeadershipContext(
          leadership.services(cloud),
          leadership.authority,
          leadership.executor,
          leadership.ledger,
          leadership.writer,
          () -> leadership.roundsRequested++,
          start);
  final MachineTypeCatalog machineTypes =
      new MachineTypeCatalog(cloud, leadership.executor, List.of(SMALL));
  final BootTimes bootTimes = new BootTimes(leadership.machines, machineTypes, start);
  final MachineProvisioner provisioner = new MachineProvisioner(context, leadership.machines);
  final MachineRemoval removal =
      new MachineRemoval(
          leadership.machines,
          leadership.ledger,
          leadership.reportedTasks(),
          leadership.attempts,
          context.services().workers());
  final MachineReleaser releaser = new MachineReleaser(context, leadership.machines, removal);

  /** Creates an inventory that reads the scripted listings. */
  MachineInventory inventory() {
    return new MachineInventory(
        context, leadership.machines, provisioner, releaser, removal, listedTermAnnouncer());
  }

  /** Creates an announcer that uses the fixture's dispatcher. */
  ListedTermAnnouncer listedTermAnnouncer() {
    TermAnnouncer termAnnouncer =
        new TermAnnouncer(
            leadership.authority,
            leadership.dispatcher,
            (machine, status, origin, now) -> AgentStatusSink.Result.APPLIED,
            leadership.clock);
    return new ListedTermAnnouncer(context, leadership.dispatcher, termAnnouncer);
  }

  /** Adds a machine that was provisioned and has not sent a heartbeat. */
  Machine bootingMachine(String name) {
    Machine machine = leadership.machines.findOrAdd(new MachineId(name), leadership.now());
    machine.setDescription(MachineDescription.of("small", "east", false, List.of("east")));
    return machine;
  }

  /** Adds a machine that has just sent a heartbeat. */
  Machine runningMachine(String name) {
    Machine machine = bootingMachine(name);
    machine.agent().recordMessage(leadership.now());
    return machine;
  }

  boolean isKnown(MachineId id) {
    return leadership.machines.find(id).isPresent();
  }

  void runFor(double seconds) {
    leadership.clock.runFor(seconds);
  }
}
