package org.ternhinge.machine;

import java.util.Optional;
import org.ternhinge.config.Settings;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.model.Term;
import org.ternhinge.wire.Heartbeat;

/**
 * The state of the worker agent of one machine as its messages show it: epoch, lease and fencing
 * token. Guarded by the controller's lock.
 */
public final class AgentState {
  private AgentEpoch epoch = AgentEpoch.NONE;
  private AgentEpoch lastEndedEpoch = AgentEpoch.NONE;
  private long sequence = -1;
  private Term fencingToken = Term.NONE;
  private Term answeredTerm = Term.NONE;
  private SteadyTime lastHeartbeat;
  private SteadyTime leaseExpiry;
  private Endpoint endpoint;

  /** The endpoint as in the agent's messages, so that an unchanged one is not parsed again. */
  private String endpointText = "";

  private boolean termAnnounced;

  AgentState(SteadyTime leaseExpiry) {
    this.leaseExpiry = leaseExpiry;
  }

  // ---- epochs and the order of messages ---------------------------------------------------------

  /** The epoch of the newest message. */
  public AgentEpoch epoch() {
    return epoch;
  }

  /** The last epoch that has certainly ended, with all earlier ones and all that ran in them. */
  public AgentEpoch lastEndedEpoch() {
    return lastEndedEpoch;
  }

  /** Whether an epoch has certainly ended. */
  public boolean hasEnded(AgentEpoch other) {
    return other.compareTo(lastEndedEpoch) <= 0;
  }

  /** Whether the current epoch is not known to have ended. */
  public boolean isEpochOpen() {
    return !hasEnded(epoch);
  }

  /** A newer epoch has begun. */
  public void beginEpoch(AgentEpoch newer) {
    epoch = newer;
  }

  /** The lease has expired: this epoch and all before it have ended. */
  public void endEpochs(AgentEpoch last) {
    lastEndedEpoch = last;
  }

  /** Whether a message is not newer than the newest one, or is of an epoch that has ended. */
  public boolean isOutdated(Heartbeat message) {
    int newer = message.epoch().compareTo(epoch);
    return newer < 0 || (newer == 0 && message.sequence() <= sequence) || hasEnded(message.epoch());
  }

  /** Sets the sequence number of the newest message in the current epoch. */
  public void sequence(long newest) {
    sequence = newest;
  }

  // ---- heartbeats and the lease -----------------------------------------------------------------

  /** A message that is newer than all earlier ones has arrived. */
  public void heard(SteadyTime now) {
    lastHeartbeat = now;
  }

  /** Whether any message has arrived in this leadership. */
  public boolean isHeard() {
    return lastHeartbeat != null;
  }

  /** When the newest message arrived; null unless the agent {@linkplain #isHeard was heard}. */
  public SteadyTime lastHeartbeat() {
    return lastHeartbeat;
  }

  /** Seconds since the newest message; infinite where none has arrived. */
  public double silentForS(SteadyTime now) {
    return isHeard() ? now.secondsSince(lastHeartbeat) : Double.POSITIVE_INFINITY;
  }

  /** Whether the agent has missed heartbeats, or was never heard. */
  public boolean isOverdue(Settings.WorkerTimings workers, SteadyTime now) {
    return silentForS(now) >= workers.overdueS();
  }

  /** After this time the agent has killed its tasks, unless a later answer extends the lease. */
  public SteadyTime leaseExpiry() {
    return leaseExpiry;
  }

  /** Whether the lease has certainly expired. */
  public boolean isLeaseExpired(SteadyTime now) {
    return leaseExpiry.isBefore(now);
  }

  /** Extends the lease; an earlier expiry than the present one has no effect. */
  public void extendLease(SteadyTime until) {
    leaseExpiry = until.max(leaseExpiry);
  }

  // ---- terms ------------------------------------------------------------------------------------

  /** The highest fencing token in the agent's messages. */
  public Term fencingToken() {
    return fencingToken;
  }

  /** Records the fencing token of a message; only a higher one has an effect. */
  public void observeFencingToken(Term shown) {
    if (shown.compareTo(fencingToken) > 0) {
      fencingToken = shown;
    }
  }

  /** A heartbeat was answered in this term. */
  public void answeredIn(Term term) {
    answeredTerm = term;
  }

  /** Whether the last answered heartbeat was answered in this term. */
  public boolean wasAnsweredIn(Term term) {
    return answeredTerm.equals(term);
  }

  /** Whether any heartbeat was answered in this leadership. */
  public boolean wasAnswered() {
    return !answeredTerm.equals(Term.NONE);
  }

  /** The term was announced to the agent before its first heartbeat in this leadership. */
  public void markTermAnnounced() {
    termAnnounced = true;
  }

  /** Whether the term was announced to the agent before its first heartbeat. */
  public boolean isTermAnnounced() {
    return termAnnounced;
  }

  // ---- address ----------------------------------------------------------------------------------

  /** The address for direct commands; empty until a message has named it. */
  public Optional<Endpoint> endpoint() {
    return Optional.ofNullable(endpoint);
  }

  /** Whether the agent's address is known. */
  public boolean hasEndpoint() {
    return endpoint != null;
  }

  /**
   * Sets the address for direct commands; an unchanged one is not parsed again.
   *
   * @throws IllegalArgumentException where the text is not an address; the former address is kept
   */
  public void endpoint(String text) {
    if (endpoint == null || !endpointText.equals(text)) {
      endpoint = Endpoint.parse(text);
      endpointText = text;
    }
  }
}
