package org.ternhinge.machine;

import java.util.Optional;
import org.ternhinge.config.Settings;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.model.Term;
import org.ternhinge.wire.Heartbeat;

/**
 * The worker agent of one machine, by its messages: its epoch, its lease and the fencing token that
 * it has shown. Guarded by the controller's lock.
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

  /** The endpoint as the agent writes it, to be compared without parsing it again. */
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

  /** Epochs up to this one have ended for certain, with everything that ran in them. */
  public AgentEpoch lastEndedEpoch() {
    return lastEndedEpoch;
  }

  /** Whether an epoch has ended for certain. */
  public boolean hasEnded(AgentEpoch other) {
    return other.compareTo(lastEndedEpoch) <= 0;
  }

  /** Whether the present epoch goes on, as far as is known. */
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

  /** Whether a message is no newer than what is known, or of an epoch that has ended. */
  public boolean isOutdated(Heartbeat message) {
    int newer = message.epoch().compareTo(epoch);
    return newer < 0 || (newer == 0 && message.sequence() <= sequence) || hasEnded(message.epoch());
  }

  /** Notes the number of the newest message in the present epoch. */
  public void sequence(long newest) {
    sequence = newest;
  }

  // ---- heartbeats and the lease -----------------------------------------------------------------

  /** A message that is newer than all before has come. */
  public void heard(SteadyTime now) {
    lastHeartbeat = now;
  }

  /** Whether any message has come in this leadership. */
  public boolean isHeard() {
    return lastHeartbeat != null;
  }

  /** When the newest message came; the agent has to have been {@linkplain #isHeard heard}. */
  public SteadyTime lastHeartbeat() {
    return lastHeartbeat;
  }

  /** Seconds since the newest message; infinite where none has come. */
  public double silentForS(SteadyTime now) {
    return isHeard() ? now.secondsSince(lastHeartbeat) : Double.POSITIVE_INFINITY;
  }

  /** Whether an agent that was heard has missed heartbeats since. */
  public boolean isOverdue(Settings.Workers workers, SteadyTime now) {
    return silentForS(now) >= workers.overdueS();
  }

  /** Past this time the agent has killed what it ran, unless it was answered since. */
  public SteadyTime leaseExpiry() {
    return leaseExpiry;
  }

  /** Whether the lease has certainly expired. */
  public boolean isLeaseExpired(SteadyTime now) {
    return leaseExpiry.isBefore(now);
  }

  /** The lease may last until then; an earlier time changes nothing. */
  public void extendLease(SteadyTime until) {
    leaseExpiry = until.max(leaseExpiry);
  }

  // ---- terms ------------------------------------------------------------------------------------

  /** The highest fencing token that the agent has shown. */
  public Term fencingToken() {
    return fencingToken;
  }

  /** The agent shows a fencing token; one that is not higher than before changes nothing. */
  public void observeFencingToken(Term shown) {
    if (shown.compareTo(fencingToken) > 0) {
      fencingToken = shown;
    }
  }

  /** A heartbeat was answered in this term. */
  public void answeredIn(Term term) {
    answeredTerm = term;
  }

  /** Whether the last heartbeat that was answered was answered in this term. */
  public boolean wasAnsweredIn(Term term) {
    return answeredTerm.equals(term);
  }

  /** Whether any heartbeat was answered in this leadership. */
  public boolean wasAnswered() {
    return !answeredTerm.equals(Term.NONE);
  }

  /** The agent was told of the term without having sent a heartbeat. */
  public void markTermAnnounced() {
    termAnnounced = true;
  }

  /** Whether the agent was told of the term without having sent a heartbeat. */
  public boolean isTermAnnounced() {
    return termAnnounced;
  }

  // ---- address ----------------------------------------------------------------------------------

  /** Where the agent takes direct commands, once it has said so. */
  public Optional<Endpoint> endpoint() {
    return Optional.ofNullable(endpoint);
  }

  /** Whether the agent's address is known. */
  public boolean hasEndpoint() {
    return endpoint != null;
  }

  /**
   * The agent names its address; the one that is known already is not parsed again.
   *
   * @throws IllegalArgumentException where the text is no address; the address so far then stands
   */
  public void endpoint(String text) {
    if (endpoint == null || !endpointText.equals(text)) {
      endpoint = Endpoint.parse(text);
      endpointText = text;
    }
  }
}
