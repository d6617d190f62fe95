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

/** Workers that record the messages sent to them; the test completes the responses. */
public final class RecordingWorkers implements WorkerClient {
  /** A message to a worker, with its outcome, which the test completes. */
  public record Message(
      Endpoint worker,
      Term term,
      AgentEpoch epoch,
      List<Command> commands,
      CompletableFuture<Outcome<Answer>> outcome) {

    /** Completes the message with a response that the commands were executed. */
    public void execute(Heartbeat status) {
      outcome.complete(Outcome.applied(new Answer.Executed(status)));
    }

    /** Completes the message with a response that the commands were refused. */
    public void refuse(Heartbeat status) {
      outcome.complete(Outcome.applied(new Answer.Refused(status)));
    }
  }

  private final List<Message> messages = new ArrayList<>();
  private final List<Command> commands;

  /**
   * Creates workers with no messages.
   *
   * @param commands list to which all sent commands are appended
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

  /** Returns all messages so far, earliest first. */
  public List<Message> messages() {
    return messages;
  }

  /** Returns the latest message. */
  public Message lastMessage() {
    return messages.get(messages.size() - 1);
  }
}
