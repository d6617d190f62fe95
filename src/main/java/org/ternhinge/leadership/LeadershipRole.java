package org.ternhinge.leadership;

import java.util.Optional;
import org.ternhinge.election.Election;

/**
 * Who leads, as far as this node knows, and this node's own leadership while it has one. All
 * methods run under the controller's lock.
 */
public final class LeadershipRole {
  private final String node;
  private final Election election;
  private Leadership leadership;

  public LeadershipRole(String node, Election election) {
    this.node = node;
    this.election = election;
  }

  /** This node has been elected. */
  public void begin(Leadership elected) {
    leadership = elected;
  }

  /** Ends this node's leadership and returns it. */
  public Leadership end() {
    Leadership ended = leadership;
    leadership = null;
    return ended;
  }

  /** This node's leadership, also while it still loads the ledger or is no longer valid. */
  public Optional<Leadership> held() {
    return Optional.ofNullable(leadership);
  }

  /** This node's leadership while it has loaded the ledger, valid or not. */
  public Optional<Leadership> ready() {
    return held().filter(Leadership::ready);
  }

  /** This node's leadership while it may speak for the controllers from memory. */
  public Optional<Leadership> valid() {
    return ready().filter(any -> election.valid());
  }

  /** Whether the leadership has been valid too lately for others to act against its answers. */
  public boolean mayAnswerWorkers() {
    return election.mayAnswer();
  }

  /** Whether this node's leadership certainly holds. */
  public boolean isValid() {
    return election.valid();
  }

  /** The leader, where it is another node. */
  public Optional<String> otherLeader() {
    return Optional.ofNullable(election.leaderNode()).filter(leader -> !leader.equals(node));
  }

  /**
   * Another node that leads and takes jobs with dependencies; a version that doesn't know them
   * would accept a job without them.
   */
  public Optional<String> otherLeaderWithDependencies() {
    return otherLeader().filter(leader -> election.leaderKnowsDependencies());
  }
}
