package org.ternhinge.leadership;

import java.util.Optional;
import org.ternhinge.election.Election;

/**
 * The current leader as known to this node, and this node's own leadership if it has one. All
 * methods must be called under the controller's lock.
 */
public final class LeadershipRole {
  private final String node;
  private final Election election;
  private Optional<Leadership> leadership = Optional.empty();

  /**
   * Creates the role of a node that is not the leader.
   *
   * @param node the name of this node
   */
  public LeadershipRole(String node, Election election) {
    this.node = node;
    this.election = election;
  }

  /** Called when this node has been elected. */
  public void begin(Leadership elected) {
    leadership = Optional.of(elected);
  }

  /** Called when this node is no longer the leader. Stops its leadership. */
  public void end() {
    Optional<Leadership> ended = leadership;
    leadership = Optional.empty();
    ended.ifPresent(Leadership::stop);
  }

  /** Returns this node's leadership, even if it is still recovering or no longer valid. */
  public Optional<Leadership> current() {
    return leadership;
  }

  /** Returns this node's leadership if it has recovered the ledger, even if no longer valid. */
  public Optional<Leadership> ready() {
    return current().filter(Leadership::ready);
  }

  /** Returns this node's leadership if it is recovered and valid and may answer from memory. */
  public Optional<Leadership> valid() {
    return ready().filter(any -> election.valid());
  }

  /**
   * Whether heartbeats may be answered: the leadership is valid, or was valid so recently that no
   * other leader can be active yet.
   */
  public boolean mayAnswerHeartbeats() {
    return election.mayAnswerHeartbeats();
  }

  /** Whether this node is the leader and its leadership is valid. */
  public boolean isValid() {
    return election.valid();
  }

  /** Returns the name of the leader if it is another node. */
  public Optional<String> otherLeader() {
    return election.leaderNode().filter(leader -> !leader.equals(node));
  }

  /**
   * Returns the name of the leader if it is another node that supports jobs with dependencies. An
   * older version would accept such a job but ignore its dependencies.
   */
  public Optional<String> otherLeaderWithDependencies() {
    return otherLeader().filter(leader -> election.leaderSupportsDependencies());
  }
}
