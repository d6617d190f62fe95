package org.ternhinge.leadership;

import java.util.Optional;
import org.ternhinge.election.Election;

/**
 * Which node leads, as far as this node knows, and this node's own leadership while it has one. All
 * methods run under the controller's lock.
 */
public final class LeadershipRole {
  private final String node;
  private final Election election;
  private Optional<Leadership> leadership = Optional.empty();

  /**
   * Creates the role of a node that does not lead.
   *
   * @param node the name of this node
   */
  public LeadershipRole(String node, Election election) {
    this.node = node;
    this.election = election;
  }

  /** This node has been elected and leads with this leadership. */
  public void begin(Leadership elected) {
    leadership = Optional.of(elected);
  }

  /** This node no longer leads; its leadership is stopped. */
  public void end() {
    Optional<Leadership> ended = leadership;
    leadership = Optional.empty();
    ended.ifPresent(Leadership::stop);
  }

  /** This node's leadership, also while it still recovers the ledger or is no longer valid. */
  public Optional<Leadership> held() {
    return leadership;
  }

  /** This node's leadership once it has recovered the ledger, valid or not. */
  public Optional<Leadership> ready() {
    return held().filter(Leadership::ready);
  }

  /** This node's leadership while it certainly holds, so that it may answer from memory. */
  public Optional<Leadership> valid() {
    return ready().filter(any -> election.valid());
  }

  /**
   * Whether heartbeats may be answered: the leadership is valid, or has been so recently that no
   * other leader acts yet.
   */
  public boolean mayAnswerWorkers() {
    return election.mayAnswerHeartbeats();
  }

  /** Whether this node's leadership certainly holds. */
  public boolean isValid() {
    return election.valid();
  }

  /** The leader, where it is another node. */
  public Optional<String> otherLeader() {
    return election.leaderNode().filter(leader -> !leader.equals(node));
  }

  /**
   * Another node that leads and supports jobs with dependencies; a version that does not would
   * accept a job without them.
   */
  public Optional<String> otherLeaderWithDependencies() {
    return otherLeader().filter(leader -> election.leaderSupportsDependencies());
  }
}
