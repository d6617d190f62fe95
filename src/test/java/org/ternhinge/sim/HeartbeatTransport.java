package org.ternhinge.sim;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ternhinge.http.Response;
import org.ternhinge.model.Outcome;
import org.ternhinge.wire.Command;

/** Carries one machine's heartbeats to a controller and the responses back. */
final class HeartbeatTransport {
  /** Time after which a response is ignored, in seconds. */
  static final double TIMEOUT_S = 4;

  private final SimCluster cluster;
  private final SimWorker machine;

  HeartbeatTransport(SimCluster cluster, SimWorker machine) {
    this.cluster = cluster;
    this.machine = machine;
  }

  /** Sends a heartbeat to a controller, subject to the faults that are active. */
  CompletableFuture<Outcome<Response>> send(byte[] heartbeat, int controller) {
    MachineLinks links = machine.links();
    boolean isResponseLost = links.dropsInbound();
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
                  recordCommands(response, isResponseLost);
                  if (!isResponseLost) {
                    to.accept(Outcome.applied(response));
                  }
                }));
  }

  /** Records the commands in a response; those of a lost response count as sent as well. */
  private void recordCommands(Response response, boolean lost) {
    if (response.status() != 200) {
      return;
    }
    List<Command> commands = HeartbeatResponses.commands(response.body());
    cluster.events.commandsSent(machine.id(), commands);
    if (lost) {
      cluster.tasks.recordSentCommands(machine.id(), commands);
    }
  }
}
