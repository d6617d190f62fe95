package org.ternhinge.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.TaskId;
import org.ternhinge.model.Term;
import org.ternhinge.wire.Command;

/**
 * The direct messages that workers have executed, and duplicates of them that the network delivers
 * late. A duplicate has the fencing token and the epoch of the original and is delivered even if
 * its sender has ended.
 */
final class CommandHistory {
  private static final double MIN_DUPLICATE_DELAY_S = 0.2;

  /** Upper bound on the delay of a duplicate beyond the minimum, in worker leases. */
  private static final double MAX_DUPLICATE_DELAY_LEASES = 2.5;

  private record Message(MachineId to, Term token, AgentEpoch epoch, List<Command> commands) {
    boolean starts(TaskId task) {
      return commands.stream()
          .anyMatch(command -> command.op() == Command.Op.START && command.task().equals(task));
    }
  }

  private final SimCluster cluster;
  private final RandomGenerator random;
  private final List<Message> executed = new ArrayList<>();
  private double duplicateShare;
  private MonotonicTime duplicateUntil;
  private int duplicates;

  /**
   * Creates an empty history.
   *
   * @param random decides which messages are duplicated
   */
  CommandHistory(SimCluster cluster, RandomGenerator random) {
    this.cluster = cluster;
    this.random = random;
  }

  /** Duplicates a share of all messages for a while. */
  void duplicate(double share, double seconds) {
    duplicateShare = share;
    duplicateUntil = cluster.clock.now().plusSeconds(seconds);
  }

  /** Records a message that a worker has executed, and may schedule a late duplicate. */
  void recordExecuted(MachineId to, Term token, AgentEpoch epoch, List<Command> commands) {
    Message message = new Message(to, token, epoch, commands);
    executed.add(message);
    boolean isDuplicated = duplicateUntil != null && !duplicateUntil.isBefore(cluster.clock.now());
    if (isDuplicated && random.nextDouble() < duplicateShare) {
      double spreadS = MAX_DUPLICATE_DELAY_LEASES * ClusterSettings.LEASE_S;
      cluster.clock.schedule(
          MIN_DUPLICATE_DELAY_S + random.nextDouble() * spreadS, () -> deliver(message));
    }
  }

  /** Delivers a duplicate of each executed message that starts a task. */
  void resendStarts(TaskId task) {
    executed.stream().filter(message -> message.starts(task)).toList().forEach(this::deliver);
  }

  /** Number of duplicates that have reached a running worker. */
  int duplicates() {
    return duplicates;
  }

  private void deliver(Message message) {
    SimWorker worker = cluster.machines.worker(message.to());
    if (worker != null) {
      duplicates++;
      worker.command(message.token(), message.epoch(), message.commands(), answer -> {});
    }
  }
}
