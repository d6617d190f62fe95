package org.ternhinge.machine;

import java.util.Optional;
import org.ternhinge.config.Settings;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Term;
import org.ternhinge.wire.Heartbeat;

/**
 * The state of one machine's worker agent as reported by its messages: epoch, lease and fencing
 * token. Guarded by the controller's lock.
 */
public final class AgentState {
  private AgentEpoch epoch = AgentEpoch.NONE;
  private AgentEpoch lastEndedEpoch = AgentEpoch.NONE;
  private long sequence = -1;
  private Term fencingToken = Term.NONE;
  private Term issuedToken = Term.NONE;
  private Term answeredTerm = Term.NONE;
  private MonotonicTime lastMessageAt;
  private MonotonicTime leaseExpiry;
  private Endpoint endpoint;

  /** The endpoint as received; it is parsed only when this text changes. */
  private String endpointText = "";

  private boolean termAnnounced;

  AgentState(MonotonicTime leaseExpiry) {
    this.leaseExpiry = leaseExpiry;
  }

  // ---- epochs and the order of messages ---------------------------------------------------------

  /** Returns the epoch of the newest message. */
  public AgentEpoch epoch() {
    return epoch;
  }

  /**
   * Returns the last epoch that has certainly ended. All earlier epochs, and all tasks that ran in
   * any of them, have ended too.
   */
  public AgentEpoch lastEndedEpoch() {
    return lastEndedEpoch;
  }

  /** Returns whether an epoch has certainly ended. */
  public boolean hasEnded(AgentEpoch other) {
    return other.compareTo(lastEndedEpoch) <= 0;
  }

  /** Returns whether the current epoch may still be active. */
  public boolean isEpochOpen() {
    return !hasEnded(epoch);
  }

  /** Records the start of a newer epoch. */
  public void beginEpoch(AgentEpoch newer) {
    epoch = newer;
  }

  /** Records that an epoch and all earlier ones have ended because the lease expired. */
  public void endEpochsUpTo(AgentEpoch last) {
    lastEndedEpoch = last;
  }

  /**
   * Returns whether a message is not newer than the newest one, or belongs to an epoch that has
   * ended.
   */
  public boolean isOutdated(Heartbeat message) {
    int newer = message.epoch().compareTo(epoch);
    return newer < 0 || (newer == 0 && message.sequence() <= sequence) || hasEnded(message.epoch());
  }

  /** Sets the sequence number of the current epoch's newest message. */
  public void setSequence(long newest) {
    sequence = newest;
  }

  // ---- heartbeats and the lease -----------------------------------------------------------------

  /** Records the arrival of a message that is newer than all earlier ones. */
  public void recordMessage(MonotonicTime now) {
    lastMessageAt = now;
  }

  /** Returns whether any message has arrived in this leadership. */
  public boolean hasReported() {
    return lastMessageAt != null;
  }

  /**
   * Returns when the newest message arrived; null unless the agent {@linkplain #hasReported has
   * reported}.
   */
  public MonotonicTime lastMessageAt() {
    return lastMessageAt;
  }

  /** Returns the seconds since the newest message; infinite if none has arrived. */
  public double silenceS(MonotonicTime now) {
    return hasReported() ? now.secondsSince(lastMessageAt) : Double.POSITIVE_INFINITY;
  }

  /** Returns whether the agent has missed heartbeats or has never reported. */
  public boolean isOverdue(Settings.WorkerTimings workers, MonotonicTime now) {
    return silenceS(now) >= workers.overdueS();
  }

  /**
   * Returns the time after which the agent has killed its tasks, unless a later answer extends the
   * lease.
   */
  public MonotonicTime leaseExpiry() {
    return leaseExpiry;
  }

  /** Returns whether the lease has certainly expired. */
  public boolean isLeaseExpired(MonotonicTime now) {
    return leaseExpiry.isBefore(now);
  }

  /** Extends the lease. An expiry before the current one has no effect. */
  public void extendLease(MonotonicTime until) {
    leaseExpiry = until.max(leaseExpiry);
  }

  // ---- terms ------------------------------------------------------------------------------------

  /** Returns the highest fencing token in the messages of the agent. */
  public Term fencingToken() {
    return fencingToken;
  }

  /** Records the fencing token of a message. Only a higher one has an effect. */
  public void observeFencingToken(Term token) {
    if (token.compareTo(fencingToken) > 0) {
      fencingToken = token;
    }
  }

  /** Returns the fencing token to which the messages to the agent were last raised. */
  public Term issuedToken() {
    return issuedToken;
  }

  /** Sets the fencing token of all later messages to the agent. */
  public void setIssuedToken(Term token) {
    issuedToken = token;
  }

  /** Records the term in which a heartbeat was answered. */
  public void recordAnswer(Term term) {
    answeredTerm = term;
  }

  /** Returns whether the last answered heartbeat was answered in a term. */
  public boolean wasAnsweredIn(Term term) {
    return answeredTerm.equals(term);
  }

  /** Returns whether any heartbeat was answered in this leadership. */
  public boolean wasAnswered() {
    return !answeredTerm.equals(Term.NONE);
  }

  /**
   * Records that the term was announced to the agent before its first heartbeat in this leadership.
   */
  public void markTermAnnounced() {
    termAnnounced = true;
  }

  /** Returns whether the term was announced to the agent before its first heartbeat. */
  public boolean isTermAnnounced() {
    return termAnnounced;
  }

  // ---- address ----------------------------------------------------------------------------------

  /** Returns the address for direct commands; empty until a message contains one. */
  public Optional<Endpoint> endpoint() {
    return Optional.ofNullable(endpoint);
  }

  /** Returns whether the address for direct commands is known. */
  public boolean hasEndpoint() {
    return endpoint != null;
  }

  /**
   * Sets the address for direct commands. An unchanged address is not parsed again.
   *
   * @throws IllegalArgumentException if the text is not an address; the previous one is kept
   */
  public void setEndpoint(String text) {
    if (endpoint == null || !endpointText.equals(text)) {
      endpoint = Endpoint.parse(text);
      endpointText = text;
    }
  }
}
