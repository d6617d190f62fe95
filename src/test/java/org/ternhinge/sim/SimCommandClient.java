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

/** Carries direct commands of one controller process to the workers. */
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
    cluster.counts.commandCallStarted();
    if (cluster.connectDelayS == 0) {
      return counted(send(endpoint, term, epoch, commands, maySend));
    }
    CompletableFuture<Outcome<Answer>> answer = new CompletableFuture<>();
    owner.schedule(
        cluster.connectDelayS,
        () ->
            AsyncCalls.whenComplete(
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

  /** Sends commands over an established connection. */
  private CompletableFuture<Outcome<Answer>> send(
      Endpoint endpoint,
      Term term,
      AgentEpoch epoch,
      List<Command> commands,
      BooleanSupplier maySend) {
    if (!maySend.getAsBoolean()) {
      return CompletableFuture.completedFuture(
          Outcome.notApplied(Reason.WITHDRAWN, "withdrawn before sending"));
    }
    cluster.counts.commandsSent(commands, term, cluster.store.claimedTerm());
    MachineId id = MachineEndpoints.machineAt(endpoint);
    SimWorker worker = cluster.machines.worker(id);
    cluster.tasks.recordSentCommands(id, commands);
    cluster.events.commandsSent(id, commands);
    return cluster.networkFaults.call(
        owner.zone(),
        worker == null ? owner.zone() : worker.zone,
        () -> !canReach(worker),
        TIMEOUT_S,
        to -> {
          if (worker != null) {
            worker.command(
                term,
                epoch,
                commands,
                outcome -> {
                  if (isExecuted(outcome)) {
                    cluster
                        .machineFaults
                        .commandHistory()
                        .recordExecuted(id, term, epoch, commands);
                  }
                  to.accept(outcome);
                });
          }
        });
  }

  private static boolean isExecuted(Outcome<Answer> outcome) {
    return outcome instanceof Outcome.Applied<Answer> applied
        && applied.value() instanceof Answer.Executed;
  }

  private boolean canReach(SimWorker worker) {
    return worker != null
        && !worker.links().isIsolated()
        && !worker.links().dropsInbound()
        && !cluster.networkFaults.isIsolatedFromWorkers(owner.index());
  }

  @Override
  public void closeConnections(Endpoint endpoint) {}
}
