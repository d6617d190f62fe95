package org.ternhinge.sim;

import java.util.List;
import org.ternhinge.model.Term;
import org.ternhinge.wire.Command;

/** Counts of messages and calls since the cluster started, used by tests to bound the work done. */
public final class MessageCounts {
  private long heartbeats;
  private long commandCalls;
  private long concurrentCommandCalls;
  private long maxConcurrentCommandCalls;
  private long storeChanges;
  private long storeReads;
  private long machineListings;
  private long provisionCalls;
  private long releaseCalls;
  private int leaderships;
  private long commandsOfStaleTerms;

  void countHeartbeat() {
    heartbeats++;
  }

  void commandCallStarted() {
    commandCalls++;
    concurrentCommandCalls++;
    maxConcurrentCommandCalls = Math.max(maxConcurrentCommandCalls, concurrentCommandCalls);
  }

  void commandCallEnded() {
    concurrentCommandCalls--;
  }

  void commandsSent(List<Command> commands, Term token, Term claimed) {
    if (token.compareTo(claimed) < 0) {
      commandsOfStaleTerms += commands.size();
    }
  }

  void countStoreRead() {
    storeReads++;
  }

  void countStoreChanges(int changes) {
    storeChanges += changes;
  }

  void countMachineListing() {
    machineListings++;
  }

  void countProvisionCall() {
    provisionCalls++;
  }

  void countReleaseCall() {
    releaseCalls++;
  }

  void countLeadership() {
    leaderships++;
  }

  /** Number of commands sent directly under a term after a higher term had been claimed. */
  public long commandsOfStaleTerms() {
    return commandsOfStaleTerms;
  }

  /** Number of single-key reads from the key-value store. */
  public long storeReads() {
    return storeReads;
  }

  /** Number of heartbeats sent by workers. */
  public long heartbeats() {
    return heartbeats;
  }

  /** Number of direct command calls from controllers to workers. */
  public long commandCalls() {
    return commandCalls;
  }

  /** Maximum number of concurrent direct command calls. */
  public long maxConcurrentCommandCalls() {
    return maxConcurrentCommandCalls;
  }

  /** Number of puts and deletes sent to the key-value store. */
  public long storeChanges() {
    return storeChanges;
  }

  /** Number of machine list pages requested by controllers. */
  public long machineListings() {
    return machineListings;
  }

  /** Number of requests to provision machines. */
  public long provisionCalls() {
    return provisionCalls;
  }

  /** Number of requests to release machines. */
  public long releaseCalls() {
    return releaseCalls;
  }

  /** Number of times that a controller became leader. */
  public int leaderships() {
    return leaderships;
  }
}
