package org.ternhinge.leadership;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Term;
import org.ternhinge.wire.Command;
import org.ternhinge.wire.Heartbeat;
import org.ternhinge.worker.WorkerClient;

/** Workers that record the messages sent to them, and respond when the test says so. */
public final class RecordingWorkers implements WorkerClient {
  /** A message to a worker, which waits for its outcome. */
  public record Message(
      Endpoint worker,
      Term term,
      AgentEpoch epoch,
      List<Command> commands,
      CompletableFuture<Outcome<Answer>> outcome) {

    /** The worker has carried the commands out. */
    public void execute(Heartbeat status) {
      outcome.complete(Outcome.applied(new Answer.Executed(status)));
    }

    /** The worker has refused the commands. */
    public void refuse(Heartbeat status) {
      outcome.complete(Outcome.applied(new Answer.Refused(status)));
    }
  }

  private final List<Message> messages = new ArrayList<>();
  private final List<Command> commands;

  /**
   * Creates workers that were sent nothing.
   *
   * @param commands receives all commands that are sent, in their order
   */
  RecordingWorkers(List<Command> commands) {
    this.commands = commands;
  }

  @Override
  public CompletableFuture<Outcome<Answer>> command(
      Endpoint worker, Term term, AgentEpoch epoch, List<Command> sent, BooleanSupplier maySend) {
    commands.addAll(sent);
    Message message = new Message(worker, term, epoch, sent, new CompletableFuture<>());
    messages.add(message);
    return message.outcome();
  }

  @Override
  public void closeConnections(Endpoint worker) {}

  /** All messages so far, the earliest first. */
  public List<Message> messages() {
    return messages;
  }

  /** The newest message. */
  public Message lastMessage() {
    return messages.get(messages.size() - 1);
  }
}
