package org.ternhinge.attempt;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.ternhinge.ledger.Authority;
import org.ternhinge.ledger.LedgerWriter;
import org.ternhinge.machine.Machine;
import org.ternhinge.model.EventLine;
import org.ternhinge.model.Term;

/**
 * Assigns fencing tokens to the messages to workers. The first token of each worker is the term of
 * the leadership. Raising the token of one worker makes it reject all earlier messages, however
 * late or often they arrive, and does not concern other workers. The tokens come from a range that
 * is reserved in the key-value store when the first one is needed, so that the next leadership's
 * tokens are higher. Guarded by the controller's lock.
 */
public final class FencingTokens {
  private static final Logger LOG = LoggerFactory.getLogger(FencingTokens.class);

  /** More tokens are reserved when a worker has fewer left than this. */
  private static final long MIN_UNUSED = LedgerWriter.RESERVED_TOKENS / 2;

  private final Authority authority;
  private final LedgerWriter writer;
  private boolean reservationInProgress;

  /** Creates the tokens of a leadership, of which only the term is reserved. */
  public FencingTokens(Authority authority, LedgerWriter writer) {
    this.authority = authority;
    this.writer = writer;
  }

  /** Returns the token of the next message to a worker. */
  public Term tokenOf(Machine machine) {
    return authority.term().max(machine.agent().issuedToken());
  }

  /**
   * Raises the token of the next message to a worker. If no token is left, it only begins to
   * reserve some.
   *
   * @return whether the token was raised
   */
  boolean raise(Machine machine) {
    Term next = tokenOf(machine).next();
    if (authority.lastToken().compareTo(next.plus(MIN_UNUSED)) < 0) {
      reserve();
    }
    if (next.compareTo(authority.lastToken()) > 0) {
      return false;
    }
    machine.agent().setIssuedToken(next);
    return true;
  }

  /** Reserves more tokens, unless a reservation is in progress. */
  public void reserve() {
    if (!reservationInProgress) {
      reservationInProgress = true;
      writer.reserveTokens(this::handleReserved);
    }
  }

  private void handleReserved() {
    reservationInProgress = false;
    LOG.info(
        "{}",
        EventLine.of("leadership-event", "tokens-reserved")
            .with("term", authority.term())
            .with("last_token", authority.lastToken())
            .with("term_revision", authority.termRevision()));
  }
}
