package org.ternhinge.sim;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ternhinge.http.Response;
import org.ternhinge.model.Outcome;
import org.ternhinge.wire.Command;

/** The way of one machine's heartbeats to a controller and of the answers back. */
final class HeartbeatTransport {
  /** An answer that comes later than this is ignored, in seconds. */
  static final double TIMEOUT_S = 4;

  private final SimCluster cluster;
  private final SimWorker machine;

  HeartbeatTransport(SimCluster cluster, SimWorker machine) {
    this.cluster = cluster;
    this.machine = machine;
  }

  /** Sends a heartbeat to a controller; each call may meet a fault that is active. */
  CompletableFuture<Outcome<Response>> send(byte[] heartbeat, int controller) {
    MachineLinks links = machine.links();
    boolean answerIsLost = links.dropsInbound();
    if (cluster.machineFaults.scheduleIfDelayed(machine.id(), heartbeat)) {
      return cluster.network.fail(false, TIMEOUT_S);
    }
    if (links.dropsHeartbeats()) {
      return cluster.networkFaults.lostCall(TIMEOUT_S);
    }
    return cluster.networkFaults.call(
        machine.zone,
        NetworkFaults.zoneOf(controller),
        () -> links.isIsolated() || cluster.networkFaults.isIsolatedFromWorkers(controller),
        TIMEOUT_S,
        to ->
            cluster.controllers.deliver(
                controller,
                HeartbeatHistory.request(heartbeat),
                response -> {
                  noteCommands(response, answerIsLost);
                  if (!answerIsLost) {
                    to.accept(Outcome.applied(response));
                  }
                }));
  }

  /** A controller has answered; the commands of a lost answer count as sent all the same. */
  private void noteCommands(Response response, boolean lost) {
    if (response.status() != 200) {
      return;
    }
    List<Command> commands = HeartbeatResponses.commands(response.body());
    cluster.events.commandsSent(machine.id(), commands);
    if (lost) {
      cluster.tasks.sent(machine.id(), commands);
    }
  }
}
