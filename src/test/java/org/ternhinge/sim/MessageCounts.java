package org.ternhinge.sim;

import java.util.List;
import org.ternhinge.model.Term;
import org.ternhinge.wire.Command;

/** Counts of messages and calls since the cluster began, by which tests bound the work done. */
public final class MessageCounts {
  private long heartbeats;
  private long commandCalls;
  private long commandCallsUnderWay;
  private long maxConcurrentCommandCalls;
  private long storeChanges;
  private long storeReads;
  private long machineListings;
  private long provisionCalls;
  private long releaseCalls;
  private int leaderships;
  private long commandsOfStaleTerms;

  void heartbeat() {
    heartbeats++;
  }

  void commandCallBegan() {
    commandCalls++;
    commandCallsUnderWay++;
    maxConcurrentCommandCalls = Math.max(maxConcurrentCommandCalls, commandCallsUnderWay);
  }

  void commandCallEnded() {
    commandCallsUnderWay--;
  }

  void commandsSent(List<Command> commands, Term term, Term highest) {
    if (term.compareTo(highest) < 0) {
      commandsOfStaleTerms += commands.size();
    }
  }

  void storeRead() {
    storeReads++;
  }

  void storeChanges(int changes) {
    storeChanges += changes;
  }

  void machineListing() {
    machineListings++;
  }

  void provisionCall() {
    provisionCalls++;
  }

  void releaseCall() {
    releaseCalls++;
  }

  void leadership() {
    leaderships++;
  }

  /** Commands that were sent directly under a term when a higher one had been claimed. */
  public long commandsOfStaleTerms() {
    return commandsOfStaleTerms;
  }

  /** Reads of single keys from the key-value store. */
  public long storeReads() {
    return storeReads;
  }

  /** Heartbeats that workers sent. */
  public long heartbeats() {
    return heartbeats;
  }

  /** Direct commands that controllers sent to workers. */
  public long commandCalls() {
    return commandCalls;
  }

  /** The most direct commands that were under way at once. */
  public long maxConcurrentCommandCalls() {
    return maxConcurrentCommandCalls;
  }

  /** Puts and deletes that controllers sent to the key-value store. */
  public long storeChanges() {
    return storeChanges;
  }

  /** Pages of the machine list that controllers requested. */
  public long machineListings() {
    return machineListings;
  }

  /** Requests to provision machines. */
  public long provisionCalls() {
    return provisionCalls;
  }

  /** Requests to release machines. */
  public long releaseCalls() {
    return releaseCalls;
  }

  /** Times that some controller began to lead. */
  public int leaderships() {
    return leaderships;
  }
}
