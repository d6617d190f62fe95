package org.ternhinge.sim;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.AsyncCalls;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Term;
import org.ternhinge.wire.Command;
import org.ternhinge.worker.WorkerClient;

/** The way of one controller process's direct commands to the workers. */
final class SimCommandClient implements WorkerClient {
  private static final double TIMEOUT_S = 3;

  private final SimCluster cluster;
  private final SimController owner;

  SimCommandClient(SimCluster cluster, SimController owner) {
    this.cluster = cluster;
    this.owner = owner;
  }

  @Override
  public CompletableFuture<Outcome<Answer>> command(
      Endpoint endpoint,
      Term term,
      AgentEpoch epoch,
      List<Command> commands,
      BooleanSupplier maySend) {
    cluster.counts.commandCallBegan();
    if (cluster.connectS == 0) {
      return counted(send(endpoint, term, epoch, commands, maySend));
    }
    CompletableFuture<Outcome<Answer>> answer = new CompletableFuture<>();
    owner.after(
        cluster.connectS,
        () ->
            AsyncCalls.whenAnswered(
                send(endpoint, term, epoch, commands, maySend), answer::complete));
    return counted(answer);
  }

  private CompletableFuture<Outcome<Answer>> counted(CompletableFuture<Outcome<Answer>> call) {
    return owner.guard(
        call.thenApply(
            outcome -> {
              cluster.counts.commandCallEnded();
              return outcome;
            }));
  }

  /** The connection is there. */
  private CompletableFuture<Outcome<Answer>> send(
      Endpoint endpoint,
      Term term,
      AgentEpoch epoch,
      List<Command> commands,
      BooleanSupplier maySend) {
    if (!maySend.getAsBoolean()) {
      return CompletableFuture.completedFuture(
          Outcome.notApplied(Reason.WITHDRAWN, "not to be sent any more"));
    }
    cluster.counts.commandsLeave(commands, term, cluster.store.term());
    MachineId id = MachineEndpoints.machineAt(endpoint);
    SimWorker worker = cluster.machines.worker(id);
    cluster.tasks.sent(id, commands);
    cluster.events.commandsLeave(id, commands);
    return cluster.networkFaults.call(
        owner.zone(),
        worker == null ? owner.zone() : worker.zone,
        () -> !reaches(worker),
        TIMEOUT_S,
        to -> {
          if (worker != null) {
            worker.command(term, epoch, commands, to);
          }
        });
  }

  private boolean reaches(SimWorker worker) {
    return worker != null
        && !worker.links().isCut()
        && !worker.links().losesInbound()
        && !cluster.networkFaults.cutFromWorkers(owner.index());
  }

  @Override
  public void closeConnections(Endpoint endpoint) {}
}
